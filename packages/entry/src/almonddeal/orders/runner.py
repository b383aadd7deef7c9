"""Running an order at most once: claim durably, send once, settle."""

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
POLL_S = 0.1
CALL_MARGIN_MS = 500
RECOVER_MS = 2500
CERTAINLY_NOT_RUN = frozenset(
    code.number for code in (NOT_REACHED, STOPPING, TARGET_LEAVING, LEASE_EXPIRED)
)

log = get_logger("orders")


def order_id(customer, service, key):
    """Return the id of an order: a digest of customer, service and key."""
    text = "\0".join((customer.name, service.name, key))
    return hashlib.sha256(text.encode()).hexdigest()


def fingerprint(method, path, body):
    """Return the digest that tells equal bodies from different ones."""
    digest = hashlib.sha256(f"{method} {path}\0".encode())
    digest.update(body)
    return digest.digest()


class OrderRunner:
    """Runs orders that came to this instance.

    Parameters
    ----------
    name : str
        This instance.
    incarnation : int
        Start number of this process.
    control : ControlClient
    ports : OrderTransport
        How targets and other entry instances are reached.
    group : anyio.abc.TaskGroup
        Runs orders to their end, also when the caller went away.
    """

    def __init__(self, name, incarnation, control, ports, group):
        self._name = name
        self._incarnation = incarnation
        self._control = control
        self._ports = ports
        self._group = group
        self._live_claims = set()
        self.n_in_flight = 0

    async def run(self, service, order, call):
        """Run an order, or return the reply that an equal one got.

        Parameters
        ----------
        service : Service
        order : str
            Id made by `order_id`.
        call : ServiceCall

        Returns
        -------
        reply : ServiceReply

        Raises
        ------
        AlmonddealError
            With the truth about ``was_run``.
        """
        call.order = order
        call.is_order = True
        outcome = _Outcome()
        # The order goes on when the caller leaves; only the waiting is cancelled.
        self._group.start_soon(self._run_to_end, service, call, outcome)
        await outcome.event.wait()
        if outcome.error is not None:
            raise outcome.error
        return outcome.reply

    async def _run_to_end(self, service, call, outcome):
        self.n_in_flight += 1
        try:
            outcome.reply = await self._run(service, call)
        except AlmonddealError as error:
            outcome.error = error
        except Exception:
            log.exception("order %s failed", call.order[:8])
            outcome.error = AlmonddealError(ORDER_OUTCOME_UNKNOWN, "internal fault")
        finally:
            self.n_in_flight -= 1
            outcome.event.set()

    async def _run(self, service, call):
        deadline_ms = monotonic_ms() + service.timeout_ms
        mark = fingerprint(call.method, call.path, call.body)
        while True:
            claim = uuid.uuid4().hex
            result = await self._claim(call, mark, claim)
            # A claim that somebody settled meanwhile is not sent any more.
            if result.claim == claim and result.state == CLAIMED:
                return await self._send_claimed(service, call, claim, deadline_ms)
            self._live_claims.discard(claim)
            reply = await self._learn(service, call, result, deadline_ms)
            if reply is not None:
                return reply

    # ---- claiming --------------------------------------------------------------

    async def _claim(self, call, mark, claim):
        command = ClaimOrder(
            order=call.order,
            fingerprint=mark,
            claim=claim,
            instance=self._name,
            incarnation=self._incarnation,
            at_ms=wall_ms(),
        )
        self._live_claims.add(claim)
        try:
            result = await self._control.submit(
                Command(claim=command), CONTROL_TIMEOUT_MS
            )
        except AlmonddealError as error:
            if error.code is not NO_QUORUM:
                # The claim may stand; it is never sent, so it is taken back.
                self._group.start_soon(self._settle_for_ever, call, claim, RELEASED)
            raise AlmonddealError(
                ORDER_NOT_SENT, str(error), retry_after_ms=1000
            ) from None
        return _check_claim(result.claim)

    # ---- sending ---------------------------------------------------------------

    async def _send_claimed(self, service, call, claim, deadline_ms):
        left_ms = max(0.0, deadline_ms - monotonic_ms())
        try:
            target = await self._ports.acquire_target(service, left_ms)
        except AlmonddealError as error:
            await self._settle(call, claim, RELEASED)
            raise AlmonddealError(
                ORDER_NOT_SENT, str(error), retry_after_ms=500
            ) from None
        with released_on_exit(target):
            reply = await self._send_once(call, target, service.timeout_ms)
        if reply.code == OK.number:
            await self._settle(call, claim, DONE, reply)
            return reply
        if reply.was_run == NO:
            await self._settle(call, claim, RELEASED)
            raise AlmonddealError(ORDER_NOT_SENT, reply.detail, retry_after_ms=500)
        await self._settle(call, claim, UNKNOWN_OUTCOME)
        raise AlmonddealError(ORDER_OUTCOME_UNKNOWN, reply.detail)

    async def _send_once(self, call, target, timeout_ms):
        """Send the call; the only place where an order leaves this process."""
        try:
            link = await self._ports.open_link(target.state)
            reply = await link.call(call, timeout_ms + CALL_MARGIN_MS)
        except AlmonddealError as error:
            if error.code.number in CERTAINLY_NOT_RUN:
                return ServiceReply(
                    code=error.code.number, was_run=NO, detail=str(error)
                )
            log.warning("order %s was cut off, %s", call.order[:8], error)
            return await self._recover(call, target.state)
        return reply

    async def _recover(self, call, state):
        """Ask the same agent for the reply after the link to it was lost."""
        deadline_ms = monotonic_ms() + RECOVER_MS
        while monotonic_ms() < deadline_ms:
            reply = await self._ask_agent(state, call.order)
            if reply is not None:
                return reply
            await anyio.sleep(POLL_S)
        return ServiceReply(
            code=ORDER_OUTCOME_UNKNOWN.number, was_run=UNKNOWN, detail="agent lost"
        )

    async def _ask_agent(self, state, order):
        """Return what an agent knows of an order, or None if it cannot be asked."""
        try:
            link = await self._ports.open_link(state)
            return await link.call(OrderQuery(order), QUERY_TIMEOUT_MS)
        except AlmonddealError:
            return None

    # ---- settling --------------------------------------------------------------

    async def _settle(self, call, claim, outcome, reply=None):
        """Settle a claim; goes on in the background if control does not answer."""
        try:
            await self._settle_once(call, claim, outcome, reply)
        except AlmonddealError:
            self._group.start_soon(self._settle_for_ever, call, claim, outcome, reply)

    async def _settle_for_ever(self, call, claim, outcome, reply=None):
        while True:
            try:
                await self._settle_once(call, claim, outcome, reply)
                return
            except AlmonddealError:
                await anyio.sleep(POLL_S)

    async def _settle_once(self, call, claim, outcome, reply):
        settle = SettleOrder(call.order, claim, outcome, reply, wall_ms())
        await self._control.submit(Command(settle=settle), SETTLE_TIMEOUT_MS)
        self._live_claims.discard(claim)

    # ---- learning of an order claimed elsewhere --------------------------------

    async def _learn(self, service, call, result, deadline_ms):
        """Return the reply of an equal order, or None if its key is free again."""
        if result.state == DONE:
            return result.reply
        if result.state == RELEASED:
            return None
        if result.state == UNKNOWN_OUTCOME:
            raise AlmonddealError(ORDER_OUTCOME_UNKNOWN, "an equal order was cut off")
        owner_alive = await self._is_alive(result, call.order)
        if owner_alive is not True:
            reply = await self._ask_agents(service, call.order)
            if reply is not None:
                await self._settle(call, result.claim, DONE, reply)
                return reply
        if owner_alive is False or monotonic_ms() > deadline_ms:
            if owner_alive is not True:
                await self._settle(call, result.claim, UNKNOWN_OUTCOME)
                raise AlmonddealError(ORDER_OUTCOME_UNKNOWN, "its instance was lost")
            raise AlmonddealError(ORDER_IN_PROGRESS, "an equal order still runs")
        await anyio.sleep(POLL_S)
        return None

    async def _is_alive(self, result, order):
        """Tell whether the claim's owner still works on it; None if it is not known."""
        if result.instance == self._name:
            same_process = result.incarnation == self._incarnation
            return same_process and result.claim in self._live_claims
        try:
            message = OrderAlive(order, result.claim, result.incarnation)
            reply = await self._ports.ask_entry(
                result.instance, message, QUERY_TIMEOUT_MS
            )
        except AlmonddealError:
            return None
        return reply.alive

    async def handle_alive(self, link, message, emit):
        """Tell whether this process works on a claim; the handler of `OrderAlive`."""
        same_process = message.incarnation == self._incarnation
        return OrderAliveReply(same_process and message.claim in self._live_claims)

    async def _ask_agents(self, service, order):
        for state in self._ports.known_target_states(service):
            reply = await self._ask_agent(state, order)
            if reply is not None and reply.code == OK.number:
                return reply
        return None


def _check_claim(result):
    if result.code == ORDER_EXPIRED.number:
        raise AlmonddealError(ORDER_EXPIRED, "the key was used long ago")
    if result.code != OK.number:
        raise AlmonddealError(CODE_BY_NUMBER[result.code], "")
    return result


class OrderTransport:
    """How an `OrderRunner` reaches targets and other entry instances.

    Attributes
    ----------
    acquire_target : async callable
        ``place(service, wait_ms)`` returns an entered `Target` of the service.
    open_link : async callable
        Maps a `TargetState` to the link to its agent.
    known_target_states : callable
        Returns the states of all known targets of a service.
    ask_entry : async callable
        ``ask_entry(name, message, timeout_ms)`` calls another entry instance.
    """

    __slots__ = ("ask_entry", "open_link", "acquire_target", "known_target_states")

    def __init__(self, acquire_target, open_link, known_target_states, ask_entry):
        self.acquire_target = acquire_target
        self.open_link = open_link
        self.known_target_states = known_target_states
        self.ask_entry = ask_entry


class _Outcome:
    __slots__ = ("error", "event", "reply")

    def __init__(self):
        self.event = anyio.Event()
        self.reply = None
        self.error = None
