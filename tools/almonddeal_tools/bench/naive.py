"""Baseline: direct requests to an engine, with a fixed timeout and full retries."""

import json
import time

import anyio


def _make_body(prompt, n_tokens, n_prefix):
    return {
        "request": f"naive:{time.monotonic_ns()}",
        "attempt": 1,
        "model": "draft",
        "version": "v1",
        "adapter": "",
        "prompt": prompt,
        "prefix": list(range(n_prefix)),
        "settings": {},
        "max_tokens": n_tokens,
        "priority": 5,
    }


async def read_from_engine(client, engine_url, prompt, n_tokens, n_prefix=0):
    """Generate tokens after a prefix at an engine; returns their arrival times in s."""
    times = []
    body = _make_body(prompt, n_tokens, n_prefix)
    async with client.stream("POST", f"{engine_url}/generate", json=body) as response:
        async for line in response.aiter_lines():
            if line and "finish" not in json.loads(line):
                times.append(time.monotonic())
    return times


class NaiveCaller:
    """A caller that talks to engines directly.

    Parameters
    ----------
    fleet : Fleet
    timeout_s : float
        Time without a token after which it restarts the generation elsewhere.
    """

    def __init__(self, fleet, timeout_s):
        self._fleet = fleet
        self._timeout_s = timeout_s

    async def measure_regeneration_ms(self, client, prompt, n_tokens):
        """Return the time in ms to regenerate from the start past token `n_tokens`."""
        started = time.monotonic()
        url = self._fleet.engine_urls[0]
        times = await read_from_engine(client, url, prompt, n_tokens + 1)
        return (times[-1] - started) * 1000

    async def measure_hang_recovery_ms(self, client, prompt, n_tokens):
        """Return the time in ms to detect a hang by the timeout and to regenerate."""
        started = time.monotonic()
        with anyio.move_on_after(self._timeout_s):
            await anyio.sleep_forever()
        waited_ms = (time.monotonic() - started) * 1000
        return waited_ms + await self.measure_regeneration_ms(client, prompt, n_tokens)
