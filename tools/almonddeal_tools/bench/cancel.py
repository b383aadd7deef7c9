"""Time until an engine slot is free after a cancel, a disconnect or a deadline."""

import time

import anyio
import httpx

from almonddeal_tools.bench.figures import percentile, print_figure
from almonddeal_tools.caller import Answer, make_client, make_headers, stream_answer
from almonddeal_tools.documents import KEY_BY_CUSTOMER

N_ROUNDS = 8
N_TOKENS = 5000
END_AT_TOKEN = 20
DEADLINE_MS = 400


class CancelBench:
    """Ends answers early and measures the time until all engines are idle.

    Parameters
    ----------
    fleet : Fleet
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._key = KEY_BY_CUSTOMER["tujenge"]

    async def _count_running(self, client):
        loads = [
            (await client.get(f"{url}/load")).json()["running"]
            for url in self._fleet.engine_urls
        ]
        return sum(loads)

    async def _ms_until_idle(self, client, ended_at_s):
        while await self._count_running(client):
            await anyio.sleep(0.005)
        return (time.monotonic() - ended_at_s) * 1000

    async def _read_until(self, client, answer, url, headers):
        client.headers.update(headers)
        async for _ in stream_answer(client, url, self._key, answer):
            if answer.n_tokens >= END_AT_TOKEN and not headers:
                return

    async def _disconnect(self, client, probe, url):
        answer = Answer(f"leave {time.time()}", N_TOKENS)
        await self._read_until(client, answer, url, {})
        return await self._ms_until_idle(probe, time.monotonic())

    async def _exceed_deadline(self, client, probe, url):
        answer = Answer(f"deadline {time.time()}", N_TOKENS)
        headers = {"x-timeout-ms": str(DEADLINE_MS)}
        started = time.monotonic()
        await self._read_until(client, answer, url, headers)
        del client.headers["x-timeout-ms"]
        return await self._ms_until_idle(probe, started + DEADLINE_MS / 1000)

    async def _cancel(self, client, probe, url):
        answer = Answer(f"cancel {time.time()}", N_TOKENS)
        ended_at_s = None
        try:
            async for _ in stream_answer(client, url, self._key, answer):
                if answer.n_tokens == END_AT_TOKEN:
                    ended_at_s = time.monotonic()
                    path = f"{url}/v1/answers/{answer.request_id}"
                    await probe.delete(path, headers=make_headers(self._key))
        except httpx.HTTPError:
            # The stream of a cancelled answer may end with its connection.
            if ended_at_s is None:
                raise
        if ended_at_s is None:
            raise RuntimeError(f"the answer ended before token {END_AT_TOKEN}")
        return await self._ms_until_idle(probe, ended_at_s)

    async def run(self):
        """Measure and print all figures."""
        async with make_client() as client, make_client() as probe:
            for name, end_answer in (
                ("a cancel", self._cancel),
                ("the caller left (grace 500 ms)", self._disconnect),
                ("a deadline", self._exceed_deadline),
            ):
                times_ms = [
                    await end_answer(client, probe, self._fleet.caller_urls[number % 3])
                    for number in range(N_ROUNDS)
                ]
                worst_ms = percentile(times_ms, 100)
                print_figure(
                    f"place free after {name}, worst", worst_ms, "ms", "under 1000"
                )
