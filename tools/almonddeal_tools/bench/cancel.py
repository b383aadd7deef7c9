"""How soon an engine's place is free after a cancel, a leaving caller or a deadline."""

import time

import anyio
import httpx

from almonddeal_tools.bench.figures import percentile, show
from almonddeal_tools.caller import Answer, headers_of, make_client, stream_answer
from almonddeal_tools.documents import KEY_BY_CUSTOMER

N_ROUNDS = 8
N_TOKENS = 5000
AT_TOKEN = 20
DEADLINE_MS = 400


class CancelBench:
    """Ends answers early and watches the engines.

    Parameters
    ----------
    fleet : Fleet
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._key = KEY_BY_CUSTOMER["tujenge"]

    async def _n_running(self, client):
        loads = [
            (await client.get(f"{url}/load")).json()["running"]
            for url in self._fleet.engine_urls
        ]
        return sum(loads)

    async def _free_after(self, client, at):
        while await self._n_running(client):
            await anyio.sleep(0.005)
        return (time.monotonic() - at) * 1000

    async def _read_until(self, client, answer, url, headers):
        client.headers.update(headers)
        async for _ in stream_answer(client, url, self._key, answer):
            if answer.n_tokens >= AT_TOKEN and not headers:
                return

    async def _leave(self, client, probe, url):
        answer = Answer(f"leave {time.time()}", N_TOKENS)
        await self._read_until(client, answer, url, {})
        return await self._free_after(probe, time.monotonic())

    async def _deadline(self, client, probe, url):
        answer = Answer(f"deadline {time.time()}", N_TOKENS)
        headers = {"x-timeout-ms": str(DEADLINE_MS)}
        started = time.monotonic()
        await self._read_until(client, answer, url, headers)
        del client.headers["x-timeout-ms"]
        return await self._free_after(probe, started + DEADLINE_MS / 1000)

    async def _cancel(self, client, probe, url):
        answer = Answer(f"cancel {time.time()}", N_TOKENS)
        try:
            async for _ in stream_answer(client, url, self._key, answer):
                if answer.n_tokens == AT_TOKEN:
                    at = time.monotonic()
                    path = f"{url}/v1/answers/{answer.request_id}"
                    await probe.delete(path, headers=headers_of(self._key))
        except httpx.HTTPError:
            pass
        return await self._free_after(probe, at)

    async def run(self):
        """Measure and print all figures."""
        async with make_client() as client, make_client() as probe:
            for name, end in (
                ("a cancel", self._cancel),
                ("the caller left (grace 500 ms)", self._leave),
                ("a deadline", self._deadline),
            ):
                times = [
                    await end(client, probe, self._fleet.caller_urls[number % 3])
                    for number in range(N_ROUNDS)
                ]
                worst = percentile(times, 100)
                show(f"place free after {name}, worst", worst, "ms", "under 1000")
