"""The naive way: straight to an engine, a fixed timeout, and again from the start."""

import json
import time

import anyio


def _body(prompt, n_tokens, n_prefix):
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


async def read_naively(client, engine_url, prompt, n_tokens, n_prefix=0):
    """Read tokens after a prefix straight from an engine; returns their times."""
    times = []
    body = _body(prompt, n_tokens, n_prefix)
    async with client.stream("POST", f"{engine_url}/generate", json=body) as response:
        async for line in response.aiter_lines():
            if line and "finish" not in json.loads(line):
                times.append(time.monotonic())
    return times


class NaiveCaller:
    """A caller without almonddeal.

    Parameters
    ----------
    fleet : Fleet
    timeout_s : float
        Silence after which it begins again at another engine.
    """

    def __init__(self, fleet, timeout_s):
        self._fleet = fleet
        self._timeout_s = timeout_s

    async def regenerate_ms(self, client, prompt, n_tokens):
        """Return the time to begin again and come back to token `n_tokens`."""
        started = time.monotonic()
        url = self._fleet.engine_urls[0]
        times = await read_naively(client, url, prompt, n_tokens + 1)
        return (times[-1] - started) * 1000

    async def hang_ms(self, client, prompt, n_tokens):
        """Return the same after a hang, which the fixed timeout has to notice."""
        started = time.monotonic()
        with anyio.move_on_after(self._timeout_s):
            await anyio.sleep_forever()
        waited_ms = (time.monotonic() - started) * 1000
        return waited_ms + await self.regenerate_ms(client, prompt, n_tokens)
