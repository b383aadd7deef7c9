"""Execution of orders at most once: claim in the control group, send once, settle."""

import hashlib
import uuid

import anyio

from almonddeal.orders.ledger import CLAIMED, DONE, RELEASED, UNKNOWN_OUTCOME
from almonddeal.targets.directory import released_on_exit
from almonddeal_common.clock import monotonic_ms, wall_ms
from almonddeal_common.codes import (
    CODE_BY_NUMBER,
    LEASE_EXPIRED,
    NO,
    NO_QUORUM,
    NOT_REACHED,
    OK,
    ORDER_EXPIRED,
    ORDER_IN_PROGRESS,
    ORDER_NOT_SENT,
    ORDER_OUTCOME_UNKNOWN,
    STOPPING,
    TARGET_LEAVING,
    UNKNOWN,
    AlmonddealError,
)
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.gen.ttypes import (
    ClaimOrder,
    Command,
    OrderAlive,
    OrderAliveReply,
    OrderQuery,
    ServiceReply,
    SettleOrder,
)

CONTROL_TIMEOUT_MS = 3000
SETTLE_TIMEOUT_MS = 3000
QUERY_TIMEOUT_MS = 1000
POLL_INTERVAL_S = 0.1
REPLY_MARGIN_MS = 500  # added to the service's timeout for the way to the agent
RECOVERY_TIMEOUT_MS = 2500
NOT_RUN_CODES = frozenset(
    code.number for code in (NOT_REACHED, STOPPING, TARGET_LEAVING, LEASE_EXPIRED)
)

log = get_logger("orders")


def order_id(customer, service, key):
    """Return the id of an order: a hash of customer, service and idempotency key."""
    text = "\0".join((customer.name, service.name, key))
    return hashlib.sha256(text.encode()).hexdigest()


def fingerprint(method, path, body):
    """Return a hash of a call, which detects the reuse of a key for another call."""
    hasher = hashlib.sha256(f"{method} {path}\0".encode())
    hasher.update(body)
    return hasher.digest()


class OrderRunner:
    """Executes the orders that callers send to this instance.

    Parameters
    ----------
    name : str
        Name of this instance.
    incarnation : int
        Identifies this process among those that this instance has started.
    control : ControlClient
    transport : CallTransport
        Reaches targets and other entry instances.
    group : anyio.abc.TaskGroup
        Runs each order to completion, even if its caller has disconnected.
    """

    def __init__(self, name, incarnation, control, transport, group):
        self._name = name
        self._incarnation = incarnation
        self._control = control
        self._transport = transport
        self._group = group
        self._claims_in_work = set()
        self.n_in_flight = 0

    async def execute(self, service, order, call):
        """Run an order, or return the reply of an earlier one with the same key.

        Parameters
        ----------
        service : Service
        order : str
            Id returned by `order_id`.
        call : ServiceCall

        Returns
        -------
        reply : ServiceReply

        Raises
        ------
        AlmonddealError
            Its ``was_run`` tells whether a target may have run the order.
        """
        call.order = order
        call.is_order = True
        execution = _Execution()
        # If the caller disconnects, only the wait is cancelled, not the order.
        self._group.start_soon(self._run_to_completion, service, call, execution)
        await execution.done.wait()
        if execution.error is not None:
            raise execution.error
        if execution.reply is None:
            log.info("order %s was cut by the stop", order[:8])
            raise AlmonddealError(ORDER_OUTCOME_UNKNOWN, "the instance stopped first")
        return execution.reply

    async def _run_to_completion(self, service, call, execution):
        self.n_in_flight += 1
        try:
            execution.reply = await self._claim_and_send(service, call)
        except AlmonddealError as error:
            execution.error = error
        except Exception:
            log.exception("execution of order %s failed", call.order[:8])
            execution.error = AlmonddealError(ORDER_OUTCOME_UNKNOWN, "internal fault")
        finally:
            self.n_in_flight -= 1
            execution.done.set()

    async def _claim_and_send(self, service, call):
        deadline_ms = monotonic_ms() + service.timeout_ms
        request_fingerprint = fingerprint(call.method, call.path, call.body)
        while True:
            claim_id = uuid.uuid4().hex
            found_claim = await self._claim(call, request_fingerprint, claim_id)
            # Another instance may have settled this claim already; then the order must
            # not be sent.
            if found_claim.claim == claim_id and found_claim.state == CLAIMED:
                return await self._send_claimed(service, call, claim_id, deadline_ms)
            self._claims_in_work.discard(claim_id)
            reply = await self._resolve_existing_claim(
                service, call, found_claim, deadline_ms
            )
            if reply is not None:
                return reply

    async def _claim(self, call, request_fingerprint, claim_id):
        command = ClaimOrder(
            order=call.order,
            fingerprint=request_fingerprint,
            claim=claim_id,
            instance=self._name,
            incarnation=self._incarnation,
            at_ms=wall_ms(),
        )
        self._claims_in_work.add(claim_id)
        try:
            result = await self._control.submit(
                Command(claim=command), CONTROL_TIMEOUT_MS
            )
        except AlmonddealError as error:
            if error.code is not NO_QUORUM:
                # The claim may have been committed, but the order is not going to be
                # sent, so the claim is released.
                self._group.start_soon(
                    self._settle_until_acknowledged, call, claim_id, RELEASED
                )
            raise AlmonddealError(
                ORDER_NOT_SENT, str(error), retry_after_ms=1000
            ) from None
        return _checked_claim(result.claim)

    async def _send_claimed(self, service, call, claim_id, deadline_ms):
        left_ms = max(0.0, deadline_ms - monotonic_ms())
        try:
            target = await self._transport.acquire_target(service, left_ms)
        except AlmonddealError as error:
            await self._settle(call, claim_id, RELEASED)
            raise AlmonddealError(
                ORDER_NOT_SENT, str(error), retry_after_ms=500
            ) from None
        with released_on_exit(target):
            reply = await self._send_once(call, target, service.timeout_ms)
        if reply.code == OK.number:
            await self._settle(call, claim_id, DONE, reply)
            return reply
        if reply.was_run == NO:
            await self._settle(call, claim_id, RELEASED)
            raise AlmonddealError(ORDER_NOT_SENT, reply.detail, retry_after_ms=500)
        await self._settle(call, claim_id, UNKNOWN_OUTCOME)
        raise AlmonddealError(ORDER_OUTCOME_UNKNOWN, reply.detail)

    async def _send_once(self, call, target, timeout_ms):
        """Send the call and return its reply; nothing else sends an order to a target.

        If the call failed and the order may have run, the agent is queried for the
        reply.
        """
        try:
            link = await self._transport.open_link(target.state)
            reply = await link.call(call, timeout_ms + REPLY_MARGIN_MS)
        except AlmonddealError as error:
            if error.code.number in NOT_RUN_CODES:
                return ServiceReply(
                    code=error.code.number, was_run=NO, detail=str(error)
                )
            log.warning(
                "no reply to order %s, querying its agent: %s", call.order[:8], error
            )
            return await self._recover_reply(call, target.state)
        return reply

    async def _recover_reply(self, call, state):
        """Query the agent that got the call for the reply, as the call may have run."""
        deadline_ms = monotonic_ms() + RECOVERY_TIMEOUT_MS
        while monotonic_ms() < deadline_ms:
            reply = await self._query_agent(state, call.order)
            if reply is not None:
                return reply
            await anyio.sleep(POLL_INTERVAL_S)
        return ServiceReply(
            code=ORDER_OUTCOME_UNKNOWN.number, was_run=UNKNOWN, detail="agent lost"
        )

    async def _query_agent(self, state, order):
        """Return an agent's reply to an order, or None if the agent cannot be reached.

        An agent that does not know the order replies `ORDER_OUTCOME_UNKNOWN`.
        """
        try:
            link = await self._transport.open_link(state)
            return await link.call(OrderQuery(order), QUERY_TIMEOUT_MS)
        except AlmonddealError:
            return None

    async def _settle(self, call, claim_id, outcome, reply=None):
        """Settle a claim; retries in the background if the control group fails."""
        try:
            await self._settle_once(call, claim_id, outcome, reply)
        except AlmonddealError:
            self._group.start_soon(
                self._settle_until_acknowledged, call, claim_id, outcome, reply
            )

    async def _settle_until_acknowledged(self, call, claim_id, outcome, reply=None):
        while True:
            try:
                await self._settle_once(call, claim_id, outcome, reply)
                return
            except AlmonddealError:
                await anyio.sleep(POLL_INTERVAL_S)

    async def _settle_once(self, call, claim_id, outcome, reply):
        settle = SettleOrder(call.order, claim_id, outcome, reply, wall_ms())
        await self._control.submit(Command(settle=settle), SETTLE_TIMEOUT_MS)
        self._claims_in_work.discard(claim_id)

    async def _resolve_existing_claim(self, service, call, found_claim, deadline_ms):
        """Resolve an order with another claim, or with its claim settled elsewhere.

        Returns
        -------
        reply : ServiceReply or None
            None if the order has to be claimed again: its claim was released, or
            it is still claimed and the deadline has not passed.

        Raises
        ------
        AlmonddealError
            `ORDER_OUTCOME_UNKNOWN` if no agent has the reply and the claim's owner no
            longer works on the order or cannot be reached until the deadline.
            `ORDER_IN_PROGRESS` if the owner still works on it at the deadline.
        """
        if found_claim.state == DONE:
            return found_claim.reply
        if found_claim.state == RELEASED:
            return None
        if found_claim.state == UNKNOWN_OUTCOME:
            raise AlmonddealError(ORDER_OUTCOME_UNKNOWN, "an equal order was cut off")
        is_owner_working = await self._is_owner_working(found_claim, call.order)
        if is_owner_working is not True:
            reply = await self._find_reply(service, call.order)
            if reply is not None:
                await self._settle(call, found_claim.claim, DONE, reply)
                return reply
        if is_owner_working is False or monotonic_ms() > deadline_ms:
            if is_owner_working is not True:
                await self._settle(call, found_claim.claim, UNKNOWN_OUTCOME)
                raise AlmonddealError(ORDER_OUTCOME_UNKNOWN, "its instance was lost")
            raise AlmonddealError(ORDER_IN_PROGRESS, "an equal order still runs")
        await anyio.sleep(POLL_INTERVAL_S)
        return None

    async def _is_owner_working(self, found_claim, order):
        """Return whether the owner of a claim still works on it, or None if unknown."""
        if found_claim.instance == self._name:
            is_same_process = found_claim.incarnation == self._incarnation
            return is_same_process and found_claim.claim in self._claims_in_work
        try:
            message = OrderAlive(order, found_claim.claim, found_claim.incarnation)
            reply = await self._transport.call_entry(
                found_claim.instance, message, QUERY_TIMEOUT_MS
            )
        except AlmonddealError:
            return None
        return reply.alive

    async def handle_alive(self, link, message, emit):
        """Handle `OrderAlive`: reply whether this process works on a claim."""
        is_same_process = message.incarnation == self._incarnation
        return OrderAliveReply(
            is_same_process and message.claim in self._claims_in_work
        )

    async def _find_reply(self, service, order):
        """Return the reply to an order from an agent that has it, or None."""
        for state in self._transport.known_target_states(service):
            reply = await self._query_agent(state, order)
            if reply is not None and reply.code == OK.number:
                return reply
        return None


def _checked_claim(result):
    if result.code == ORDER_EXPIRED.number:
        raise AlmonddealError(ORDER_EXPIRED, "the key was used long ago")
    if result.code != OK.number:
        raise AlmonddealError(CODE_BY_NUMBER[result.code], "")
    return result


class CallTransport:
    """Callables through which orders and lookups reach targets and entry instances.

    Attributes
    ----------
    acquire_target : async callable
        ``acquire_target(service, wait_ms)`` waits for a slot at a `Target` of the
        service and returns it.
    open_link : async callable
        Maps a `TargetState` to the link to its agent.
    known_target_states : callable
        Maps a `Service` to the `TargetState` of each of its known targets.
    call_entry : async callable
        ``call_entry(name, message, timeout_ms)`` calls another entry instance and
        returns its reply.
    """

    __slots__ = ("call_entry", "open_link", "acquire_target", "known_target_states")

    def __init__(self, acquire_target, open_link, known_target_states, call_entry):
        self.acquire_target = acquire_target
        self.open_link = open_link
        self.known_target_states = known_target_states
        self.call_entry = call_entry


class _Execution:
    __slots__ = ("done", "error", "reply")

    def __init__(self):
        self.done = anyio.Event()
        self.reply = None
        self.error = None
