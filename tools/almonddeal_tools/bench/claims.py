"""Claims of orders: how many a second, and how long one takes."""

import hashlib
import time
import uuid

import anyio

from almonddeal_common.address import Address
from almonddeal_common.wire.connect import dial
from almonddeal_common.wire.gen.constants import PROTOCOL_VERSION
from almonddeal_common.wire.gen.ttypes import ClaimOrder, Command, Hello, Propose
from almonddeal_tools.bench.figures import Distribution, show

N_CLAIMS = 4000
N_CLIENTS = 32
TIMEOUT_MS = 5000


class ClaimBench:
    """Sends claims straight to the leader of the control group.

    Parameters
    ----------
    fleet : Fleet
    """

    def __init__(self, fleet):
        self._fleet = fleet

    def _leader_address(self):
        leader = self._fleet.status(0)["leader"]
        number = int(leader.removeprefix("entry"))
        return Address.parse(self._fleet.entry_addresses[number])

    async def _measure(self, link, n_clients, n_claims):
        times = Distribution()

        async def claim_many():
            for _ in range(n_claims // n_clients):
                order = hashlib.sha256(uuid.uuid4().bytes).hexdigest()
                command = ClaimOrder(order, b"f" * 32, "c", "bench", 1, "", 1)
                started = time.monotonic()
                reply = await link.call(Propose(Command(claim=command)), TIMEOUT_MS)
                assert reply.code == 0, reply
                times.record((time.monotonic() - started) * 1000)

        started = time.monotonic()
        async with anyio.create_task_group() as group:
            for _ in range(n_clients):
                group.start_soon(claim_many)
        return times.n_values / (time.monotonic() - started), times

    async def run(self):
        """Measure and print all figures."""
        hello = Hello(PROTOCOL_VERSION, 1, "bench", "bench", 1, "fd1")
        link = await dial(self._leader_address(), hello, {})
        async with anyio.create_task_group() as group:
            group.start_soon(link.run)
            await link.ready.wait()
            one_rate, one = await self._measure(link, 1, N_CLAIMS // 10)
            rate, times = await self._measure(link, N_CLIENTS, N_CLAIMS)
            group.cancel_scope.cancel()
        # The naive way syncs each claim alone, as a single client does.
        show("claims a second", rate, "1/s", "at least 500", one_rate)
        show("one claim, p99", times.at(99), "ms", "under 25", one.at(99))
        show("one claim, p50", times.at(50), "ms", None, one.at(50))
