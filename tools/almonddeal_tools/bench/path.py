"""What the path adds: time between tokens, and processor time a token."""

import os
import time
from pathlib import Path

import anyio
from anyio import to_process

from almonddeal_tools.bench.figures import Distribution, show
from almonddeal_tools.bench.naive import read_naively
from almonddeal_tools.bench.resume import TimedReading
from almonddeal_tools.caller import Answer, make_client
from almonddeal_tools.documents import KEY_BY_CUSTOMER

N_STREAMS = 200
N_TOKENS = 150
N_READERS = 4
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(process):
    """Return the processor time that a process used so far, in s."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def rss_mb(process):
    """Return the resident memory of a process in MB."""
    pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def _gaps(times_by_stream):
    distribution = Distribution()
    for times in times_by_stream:
        for before, after in zip(times, times[1:], strict=False):
            distribution.record((after - before) * 1000)
    return distribution


def read_direct(urls, numbers):
    """Read streams straight from engines; returns the times of each."""

    async def main():
        times = []

        async def read(client, number):
            url = urls[number % len(urls)]
            prompt = f"direct {number}"
            times.append(await read_naively(client, url, prompt, N_TOKENS))

        async with make_client() as client, anyio.create_task_group() as group:
            for number in numbers:
                group.start_soon(read, client, number)
        return times

    return anyio.run(main)


def read_through(urls, numbers):
    """Read whole answers through the product; returns the times of each."""

    async def main():
        readings = []
        key = KEY_BY_CUSTOMER["tujenge"]
        async with make_client() as client, anyio.create_task_group() as group:
            for number in numbers:
                answer = Answer(f"through {number} {time.time()}", N_TOKENS)
                readings.append(TimedReading(answer))
                url = urls[number % len(urls)]
                group.start_soon(readings[-1].read, client, url, key)
        assert all(reading.answer.is_whole for reading in readings)
        return [reading.times for reading in readings]

    return anyio.run(main)


class PathBench:
    """Compares streams through the product with streams straight to the engines.

    Parameters
    ----------
    fleet : Fleet
    """

    def __init__(self, fleet):
        self._fleet = fleet

    async def _spread(self, read_many, urls, n_streams):
        """Read streams in several processes; returns the gaps of all of them."""
        results = []

        async def work(numbers):
            results.extend(await to_process.run_sync(read_many, urls, numbers))

        async with anyio.create_task_group() as group:
            for start in range(N_READERS):
                group.start_soon(work, range(start, n_streams, N_READERS))
        return _gaps(results)

    async def direct(self, n_streams):
        """Return the gaps of streams straight from the engines."""
        return await self._spread(read_direct, self._fleet.engine_urls, n_streams)

    async def through(self, n_streams):
        """Return the gaps of streams through the product."""
        return await self._spread(read_through, self._fleet.caller_urls, n_streams)

    def _cpu(self, prefix):
        return sum(
            cpu_s(process)
            for name, process in self._fleet.process_by_name.items()
            if name.startswith(prefix)
        )

    async def run(self):
        """Measure and print all figures."""
        direct = await self.direct(N_STREAMS)
        entry_s, agent_s = self._cpu("entry"), self._cpu("agent")
        started = time.monotonic()
        through = await self.through(N_STREAMS)
        elapsed = time.monotonic() - started
        n_tokens = N_STREAMS * N_TOKENS
        added = through.at(95) - direct.at(95)
        show(
            "added time between tokens, p95, 200 streams",
            added,
            "ms",
            "under 2",
            None,
            direct_p95=direct.at(95),
            through_p95=through.at(95),
            tokens_per_s=round(n_tokens / elapsed),
        )
        entry_us = (self._cpu("entry") - entry_s) / n_tokens * 1e6
        agent_us = (self._cpu("agent") - agent_s) / n_tokens * 1e6
        show("processor time a token, entry instances", entry_us, "us")
        show("processor time a token, agents", agent_us, "us")
        show(
            "processor time a token, both",
            entry_us + agent_us,
            "us",
            "under 150",
        )
