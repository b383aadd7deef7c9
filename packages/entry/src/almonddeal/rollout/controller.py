"""Carrying out rollouts on the leader of the control group."""

import anyio

from almonddeal.rollout.fence import fence_of_term
from almonddeal.rollout.planner import Pause, next_steps
from almonddeal_common.clock import wall_ms
from almonddeal_common.codes import NO_QUORUM, AlmonddealError
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.gen.ttypes import Command, RecordAttempt, TargetOrder

INTERVAL_S = 0.3
IDLE_INTERVAL_S = 2.0
RETRY_S = 2.0
RECORD_TIMEOUT_MS = 5000
ORDER_TIMEOUT_MS = 600_000

log = get_logger("rollout")


class RolloutController:
    """Takes the steps of the planner, one after the other, while this member leads.

    Parameters
    ----------
    consensus : Consensus
    control : ControlClient
    replica : DocumentReplica
    directory : TargetDirectory
    links : AgentLinks
    versions_in_use : callable
        Returns the versions with unfinished answers anywhere, or None if some live
        instance has not told yet.
    """

    def __init__(self, consensus, control, replica, directory, links, versions_in_use):
        self.pause_reason = None
        self._consensus = consensus
        self._control = control
        self._replica = replica
        self._directory = directory
        self._links = links
        self._versions_in_use = versions_in_use
        self._busy = set()
        self._had_steps = False
        self._term = 0
        self._n_orders = 0

    async def run(self):
        """Work until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self._wait_for_work()
                if self._consensus.is_leader:
                    await self._advance(group)
                else:
                    self.pause_reason = None

    async def _wait_for_work(self):
        """Wait a moment while steps are taken, and longer while nothing changes."""
        await anyio.sleep(INTERVAL_S)
        if not self._busy and not self._had_steps:
            with anyio.move_on_after(IDLE_INTERVAL_S - INTERVAL_S):
                await self._replica.wait_newer(self._replica.document.version)

    async def _advance(self, group):
        in_use = self._versions_in_use()
        document = self._replica.document
        if in_use is None or document.version == 0:
            return
        steps = next_steps(document, self._directory.engines(), in_use, self._busy)
        self._had_steps = bool(steps)
        if isinstance(steps, Pause):
            await self._note_pause(steps.reason)
            return
        if self.pause_reason is not None:
            await self._record("resumed", self.pause_reason)
            self.pause_reason = None
        for step in steps:
            self._busy.add(step.target)
            group.start_soon(self._take, step)

    async def _note_pause(self, reason):
        if reason != self.pause_reason:
            self.pause_reason = reason
            log.warning("paused, %s", reason)
            await self._record("paused", reason)

    async def _take(self, step):
        try:
            # The intent is durable before the order leaves; a quorum also proves that
            # this member still leads.
            await self._record_once("step", str(step))
            await self._order(step)
            log.info("done: %s", step)
        except AlmonddealError as error:
            log.warning("failed: %s, %s", step, error)
            await anyio.sleep(RETRY_S)
        finally:
            self._busy.discard(step.target)

    async def _order(self, step):
        target = self._directory.target_by_name.get(step.target)
        fence = self._next_fence()
        order = TargetOrder(fence, step.kind, step.model, step.version, step.role)
        link = await self._links.open(target.state)
        await link.call(order, ORDER_TIMEOUT_MS)
        # The next announcement tells of the step; until then it would look undone.
        await anyio.sleep(2 * INTERVAL_S)

    def _next_fence(self):
        if not self._consensus.is_leader:
            raise AlmonddealError(NO_QUORUM, "leads no more")
        if self._consensus.term != self._term:
            self._term = self._consensus.term
            self._n_orders = 0
        self._n_orders += 1
        return fence_of_term(self._term) + self._n_orders

    async def _record(self, kind, detail):
        try:
            await self._record_once(kind, detail)
        except AlmonddealError as error:
            log.warning("not recorded: %s %s, %s", kind, detail, error)

    async def _record_once(self, kind, detail):
        attempt = RecordAttempt(kind, "rollout", "", detail, wall_ms())
        await self._control.submit(Command(attempt=attempt), RECORD_TIMEOUT_MS)
