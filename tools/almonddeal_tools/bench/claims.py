"""Throughput and latency of order claims."""

import hashlib
import time
import uuid

import anyio

from almonddeal_common.address import Address
from almonddeal_common.wire.connect import dial
from almonddeal_common.wire.gen.constants import PROTOCOL_VERSION
from almonddeal_common.wire.gen.ttypes import ClaimOrder, Command, Hello, Propose
from almonddeal_tools.bench.figures import Distribution, print_figure

N_CLAIMS = 4000
N_CLIENTS = 32
CLAIM_TIMEOUT_MS = 5000


class ClaimBench:
    """Sends claims directly to the leader of the control group.

    Parameters
    ----------
    fleet : Fleet
    """

    def __init__(self, fleet):
        self._fleet = fleet

    def _leader_address(self):
        leader = self._fleet.fetch_status(0)["leader"]
        number = int(leader.removeprefix("entry"))
        return Address.parse(self._fleet.entry_addresses[number])

    async def _measure_claims(self, link, n_clients, n_claims):
        latencies = Distribution()

        async def claim_many():
            for _ in range(n_claims // n_clients):
                order = hashlib.sha256(uuid.uuid4().bytes).hexdigest()
                command = ClaimOrder(order, b"f" * 32, "c", "bench", 1, "", 1)
                started = time.monotonic()
                reply = await link.call(
                    Propose(Command(claim=command)), CLAIM_TIMEOUT_MS
                )
                assert reply.code == 0, reply
                latencies.record((time.monotonic() - started) * 1000)

        started = time.monotonic()
        async with anyio.create_task_group() as group:
            for _ in range(n_clients):
                group.start_soon(claim_many)
        return latencies.n_values / (time.monotonic() - started), latencies

    async def run(self):
        """Measure and print all figures."""
        hello = Hello(PROTOCOL_VERSION, 1, "bench", "bench", 1, "fd1")
        link = await dial(self._leader_address(), hello, {})
        async with anyio.create_task_group() as group:
            group.start_soon(link.run)
            await link.ready.wait()
            sequential_rate, sequential_latencies = await self._measure_claims(
                link, 1, N_CLAIMS // 10
            )
            rate, latencies = await self._measure_claims(link, N_CLIENTS, N_CLAIMS)
            group.cancel_scope.cancel()
        # Baseline: a single client, whose claims are synced to disk one by one.
        print_figure("claims a second", rate, "1/s", "at least 500", sequential_rate)
        print_figure(
            "one claim, p99",
            latencies.percentile_ms(99),
            "ms",
            "under 25",
            sequential_latencies.percentile_ms(99),
        )
        print_figure(
            "one claim, p50",
            latencies.percentile_ms(50),
            "ms",
            None,
            sequential_latencies.percentile_ms(50),
        )
