"""What the path adds: time between tokens, and processor time a token."""

import os
import time
from pathlib import Path

import anyio

from almonddeal_tools.bench.figures import Distribution, show
from almonddeal_tools.bench.naive import NaiveCaller
from almonddeal_tools.bench.resume import TimedReading
from almonddeal_tools.caller import Answer, make_client
from almonddeal_tools.fleet import KEY_BY_CUSTOMER

N_STREAMS = 200
N_TOKENS = 150
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


class PathBench:
    """Compares streams through the product with streams straight to the engines.

    Parameters
    ----------
    fleet : Fleet
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._naive = NaiveCaller(fleet, 10.0)

    async def _direct(self, n_streams):
        times = []

        async def read(client, number):
            engine = number % self._fleet.n_engines
            times.append(
                await self._naive.read(client, engine, f"direct {number}", N_TOKENS)
            )

        async with make_client() as client, anyio.create_task_group() as group:
            for number in range(n_streams):
                group.start_soon(read, client, number)
        return _gaps(times)

    async def _through(self, n_streams):
        readings = [
            TimedReading(Answer(f"through {number} {time.time()}", N_TOKENS))
            for number in range(n_streams)
        ]
        key = KEY_BY_CUSTOMER["tujenge"]
        async with make_client() as client, anyio.create_task_group() as group:
            for number, reading in enumerate(readings):
                url = self._fleet.caller_urls[number % self._fleet.n_entries]
                group.start_soon(reading.read, client, url, key)
        assert all(reading.answer.is_whole for reading in readings)
        return _gaps([reading.times for reading in readings])

    def _cpu(self, prefix):
        return sum(
            cpu_s(process)
            for name, process in self._fleet.process_by_name.items()
            if name.startswith(prefix)
        )

    async def run(self):
        """Measure and print all figures."""
        direct = await self._direct(N_STREAMS)
        entry_s, agent_s = self._cpu("entry"), self._cpu("agent")
        started = time.monotonic()
        through = await self._through(N_STREAMS)
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
