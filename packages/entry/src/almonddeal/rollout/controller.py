"""Execution of rollouts on the leader of the control group."""

import anyio

from almonddeal.rollout.fence import fence_of_term
from almonddeal.rollout.planner import Pause, next_steps
from almonddeal_common.clock import wall_ms
from almonddeal_common.codes import NO_QUORUM, NOT_REACHED, AlmonddealError
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.gen.ttypes import Command, RecordAttempt, TargetOrder

POLL_INTERVAL_S = 0.3
IDLE_POLL_INTERVAL_S = 2.0
RETRY_DELAY_S = 2.0
RECORD_TIMEOUT_MS = 5000
TARGET_ORDER_TIMEOUT_MS = 600_000

log = get_logger("rollout")


class RolloutController:
    """Executes the steps of the planner while this member is the leader.

    Parameters
    ----------
    consensus : Consensus
    control_client : ControlClient
    replica : DocumentReplica
    directory : TargetDirectory
    links : AgentLinks
    versions_in_use : callable
        Returns the versions with unfinished answers on any instance, or None while a
        live instance has not reported them.

    Attributes
    ----------
    pause_reason : str or None
        Why the rollout is paused; None if it is not, or on a member that does not lead.
    """

    def __init__(
        self, consensus, control_client, replica, directory, links, versions_in_use
    ):
        self.pause_reason = None
        self._consensus = consensus
        self._control_client = control_client
        self._replica = replica
        self._directory = directory
        self._links = links
        self._versions_in_use = versions_in_use
        self._busy_targets = set()
        self._has_work = False
        self._term = 0
        self._n_target_orders = 0

    async def run(self):
        """Execute rollout steps until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self._wait_for_work()
                if self._consensus.is_leader:
                    await self._start_next_steps(group)
                else:
                    self.pause_reason = None

    async def _wait_for_work(self):
        """Wait for the next poll, which is later while there are no steps."""
        await anyio.sleep(POLL_INTERVAL_S)
        if not self._busy_targets and not self._has_work:
            with anyio.move_on_after(IDLE_POLL_INTERVAL_S - POLL_INTERVAL_S):
                await self._replica.wait_newer(self._replica.document.version)

    async def _start_next_steps(self, group):
        in_use = self._versions_in_use()
        document = self._replica.document
        if in_use is None or document.version == 0:
            return
        steps = next_steps(
            document, self._directory.observed_engines(), in_use, self._busy_targets
        )
        self._has_work = bool(steps)
        if isinstance(steps, Pause):
            await self._record_pause(steps.reason)
            return
        if self.pause_reason is not None:
            await self._try_record("resumed", self.pause_reason)
            self.pause_reason = None
        for step in steps:
            self._busy_targets.add(step.target)
            group.start_soon(self._execute, step)

    async def _record_pause(self, reason):
        if reason != self.pause_reason:
            self.pause_reason = reason
            log.warning("rollout paused: %s", reason)
            await self._try_record("paused", reason)

    async def _execute(self, step):
        try:
            # The step is recorded durably before the order is sent. A commit by this
            # member also proves that it still leads. If another leader committed the
            # record, `_next_fence` refuses, unless this member leads again.
            await self._record_in_audit_trail("step", str(step))
            await self._send_target_order(step)
            log.info("rollout step done: %s", step)
        except AlmonddealError as error:
            log.warning("rollout step failed: %s: %s", step, error)
            await anyio.sleep(RETRY_DELAY_S)
        except Exception:
            # The steps of all targets share a task group, which one must not cancel.
            log.exception("rollout step failed: %s", step)
            await anyio.sleep(RETRY_DELAY_S)
        finally:
            self._busy_targets.discard(step.target)

    async def _send_target_order(self, step):
        target = self._directory.target_by_name.get(step.target)
        if target is None:
            raise AlmonddealError(NOT_REACHED, f"{step.target} is not known any more")
        fence = self._next_fence()
        order = TargetOrder(fence, step.kind, step.model, step.version, step.role)
        link = await self._links.open(target.state)
        await link.call(order, TARGET_ORDER_TIMEOUT_MS)
        # The planner sees the result only after the next announcement of the target.
        await anyio.sleep(2 * POLL_INTERVAL_S)

    def _next_fence(self):
        if not self._consensus.is_leader:
            raise AlmonddealError(NO_QUORUM, "leads no more")
        if self._consensus.term != self._term:
            self._term = self._consensus.term
            self._n_target_orders = 0
        self._n_target_orders += 1
        return fence_of_term(self._term) + self._n_target_orders

    async def _try_record(self, kind, detail):
        try:
            await self._record_in_audit_trail(kind, detail)
        except AlmonddealError as error:
            log.warning(
                "could not record %s %s in the audit trail: %s", kind, detail, error
            )

    async def _record_in_audit_trail(self, kind, detail):
        attempt = RecordAttempt(kind, "rollout", "", detail, wall_ms())
        await self._control_client.submit(Command(attempt=attempt), RECORD_TIMEOUT_MS)
