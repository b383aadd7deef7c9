"""Overhead of the product: added time between tokens, and CPU time per token."""

import os
import time
from pathlib import Path

import anyio
from anyio import to_process

from almonddeal_tools.bench.figures import Distribution, print_figure
from almonddeal_tools.bench.naive import read_from_engine
from almonddeal_tools.bench.resume import TimedReader
from almonddeal_tools.caller import Answer, make_client
from almonddeal_tools.documents import KEY_BY_CUSTOMER

N_STREAMS = 200
N_TOKENS = 150
N_READERS = 4
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(process):
    """Return the CPU time of a process so far, in s."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def rss_mb(process):
    """Return the resident memory of a process in MB."""
    pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def _make_gap_distribution(times_by_stream):
    distribution = Distribution()
    for times in times_by_stream:
        for before, after in zip(times, times[1:], strict=False):
            distribution.record((after - before) * 1000)
    return distribution


def read_direct(urls, numbers):
    """Read streams directly from engines; returns a list of token times for each."""

    async def main():
        times = []

        async def read(client, number):
            url = urls[number % len(urls)]
            prompt = f"direct {number}"
            times.append(await read_from_engine(client, url, prompt, N_TOKENS))

        async with make_client() as client, anyio.create_task_group() as group:
            for number in numbers:
                group.start_soon(read, client, number)
        return times

    return anyio.run(main)


def read_through_product(urls, numbers):
    """Read answers through the product; returns a list of token times for each."""

    async def main():
        readers = []
        key = KEY_BY_CUSTOMER["tujenge"]
        async with make_client() as client, anyio.create_task_group() as group:
            for number in numbers:
                answer = Answer(f"through {number} {time.time()}", N_TOKENS)
                readers.append(TimedReader(answer))
                url = urls[number % len(urls)]
                group.start_soon(readers[-1].read, client, url, key)
        assert all(reader.answer.is_complete for reader in readers)
        return [reader.token_times_s for reader in readers]

    return anyio.run(main)


class PathBench:
    """Compares streams through the product with streams directly from engines.

    Parameters
    ----------
    fleet : Fleet
    """

    def __init__(self, fleet):
        self._fleet = fleet

    async def _read_in_processes(self, read_many, urls, n_streams):
        """Read streams in several processes; returns the distribution of all gaps."""
        times_by_stream = []

        async def work(numbers):
            times_by_stream.extend(await to_process.run_sync(read_many, urls, numbers))

        async with anyio.create_task_group() as group:
            for start in range(N_READERS):
                group.start_soon(work, range(start, n_streams, N_READERS))
        return _make_gap_distribution(times_by_stream)

    async def measure_direct(self, n_streams):
        """Return the distribution of the gaps in streams directly from engines."""
        return await self._read_in_processes(
            read_direct, self._fleet.engine_urls, n_streams
        )

    async def measure_through(self, n_streams):
        """Return the distribution of the gaps in streams through the product."""
        return await self._read_in_processes(
            read_through_product, self._fleet.caller_urls, n_streams
        )

    def _sum_cpu_s(self, prefix):
        return sum(
            cpu_s(process)
            for name, process in self._fleet.process_by_name.items()
            if name.startswith(prefix)
        )

    async def run(self):
        """Measure and print all figures."""
        direct = await self.measure_direct(N_STREAMS)
        entry_s, agent_s = self._sum_cpu_s("entry"), self._sum_cpu_s("agent")
        started = time.monotonic()
        through = await self.measure_through(N_STREAMS)
        elapsed_s = time.monotonic() - started
        n_tokens = N_STREAMS * N_TOKENS
        added_ms = through.percentile_ms(95) - direct.percentile_ms(95)
        print_figure(
            "added time between tokens, p95, 200 streams",
            added_ms,
            "ms",
            "under 2",
            None,
            direct_p95=direct.percentile_ms(95),
            through_p95=through.percentile_ms(95),
            tokens_per_s=round(n_tokens / elapsed_s),
        )
        entry_us = (self._sum_cpu_s("entry") - entry_s) / n_tokens * 1e6
        agent_us = (self._sum_cpu_s("agent") - agent_s) / n_tokens * 1e6
        print_figure("processor time a token, entry instances", entry_us, "us")
        print_figure("processor time a token, agents", agent_us, "us")
        print_figure(
            "processor time a token, both",
            entry_us + agent_us,
            "us",
            "under 150",
        )
