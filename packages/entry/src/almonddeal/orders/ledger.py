"""Ledger of claimed orders, part of the replicated state of the control group.

An order is claimed before its call is sent. A claim is settled as ``done`` with the
reply, as ``unknown`` when the outcome cannot be determined, or released when the call
was certainly not run. A late reply may still replace ``unknown``. Orders beyond the
retention time or the maximum number are evicted, oldest first; their ids are kept as
expired, so that a used key never runs again.
"""

from collections import OrderedDict

from almonddeal_common.codes import KEY_REUSED, OK, ORDER_EXPIRED
from almonddeal_common.wire.codec import decode, encode
from almonddeal_common.wire.gen.ttypes import ClaimResult, ServiceReply

CLAIMED = "claimed"
DONE = "done"
UNKNOWN_OUTCOME = "unknown"
RELEASED = "released"
EXPIRED = "expired"

ORDER_RETENTION_MS = 7 * 24 * 3600 * 1000
MAX_KEPT_ORDERS = 200_000


class _Order:
    __slots__ = (
        "claimed_wall_ms",
        "claim",
        "fingerprint",
        "incarnation",
        "instance",
        "reply",
        "state",
        "target",
    )

    def __init__(
        self,
        fingerprint,
        claim,
        instance,
        incarnation,
        target,
        claimed_wall_ms,
        state,
        reply,
    ):
        self.fingerprint = fingerprint
        self.claim = claim
        self.instance = instance
        self.incarnation = incarnation
        self.target = target
        self.claimed_wall_ms = claimed_wall_ms
        self.state = state
        self.reply = reply

    def as_list(self):
        reply = encode(self.reply).hex() if self.reply is not None else None
        return [
            self.fingerprint.hex(),
            self.claim,
            self.instance,
            self.incarnation,
            self.target,
            self.claimed_wall_ms,
            self.state,
            reply,
        ]

    @classmethod
    def from_list(cls, fields):
        fingerprint, *middle, reply = fields
        if reply is not None:
            reply = decode(ServiceReply, bytes.fromhex(reply))
        return cls(bytes.fromhex(fingerprint), *middle, reply)


class OrderLedger:
    """Claims by order id.

    Deterministic: time advances only with the timestamps of the commands, so that all
    members of the control group expire the same orders.
    """

    def __init__(self):
        self._order_by_id = OrderedDict()
        self._expired_ids = set()
        self._now_ms = 0

    def __len__(self):
        return len(self._order_by_id) + len(self._expired_ids)

    def claim(self, command):
        """Claim an order that has no claim yet.

        Parameters
        ----------
        command : ClaimOrder

        Returns
        -------
        result : ClaimResult
            State of the order. Its ``claim`` is the command's only if that command
            made the claim; only then may the call be sent. ``KEY_REUSED`` if the
            order was claimed with another fingerprint, ``ORDER_EXPIRED`` if only its
            id is still known.
        """
        self._advance_clock(command.at_ms)
        if bytes.fromhex(command.order) in self._expired_ids:
            return ClaimResult(ORDER_EXPIRED.number, EXPIRED)
        order = self._order_by_id.get(command.order)
        if order is None:
            order = _Order(
                command.fingerprint,
                command.claim,
                command.instance,
                command.incarnation,
                command.target,
                command.at_ms,
                CLAIMED,
                None,
            )
            self._order_by_id[command.order] = order
        if order.fingerprint != command.fingerprint:
            return ClaimResult(KEY_REUSED.number, order.state)
        return self._result(order)

    def settle(self, command):
        """Settle a claim; returns the resulting `ClaimResult`.

        A claim is settled once; only ``done`` may still replace ``unknown``. Other
        settlements, and those of another claim, change nothing. For an unknown order or
        another claim the result is ``released``.
        """
        self._advance_clock(command.at_ms)
        order = self._order_by_id.get(command.order)
        if order is None or order.claim != command.claim:
            return ClaimResult(OK.number, RELEASED)
        if order.state == CLAIMED and command.outcome == RELEASED:
            del self._order_by_id[command.order]
            return ClaimResult(OK.number, RELEASED)
        may_settle = order.state == CLAIMED or (
            order.state == UNKNOWN_OUTCOME and command.outcome == DONE
        )
        if may_settle:
            order.state = command.outcome
            order.reply = command.reply
        return self._result(order)

    def _result(self, order):
        return ClaimResult(
            OK.number,
            order.state,
            order.claim,
            order.instance,
            order.incarnation,
            order.target,
            order.reply,
        )

    def _advance_clock(self, at_ms):
        """Advance the time of the ledger and evict expired and surplus orders."""
        self._now_ms = max(self._now_ms, at_ms)
        while self._order_by_id:
            order_id, order = next(iter(self._order_by_id.items()))
            is_expired = self._now_ms - order.claimed_wall_ms > ORDER_RETENTION_MS
            if not is_expired and len(self._order_by_id) <= MAX_KEPT_ORDERS:
                return
            del self._order_by_id[order_id]
            self._expired_ids.add(bytes.fromhex(order_id))

    def dump(self):
        """Return the ledger as a JSON-compatible dict for a snapshot."""
        return {
            "now_ms": self._now_ms,
            "orders": [[key, o.as_list()] for key, o in self._order_by_id.items()],
            "expired": [key.hex() for key in sorted(self._expired_ids)],
        }

    def restore(self, raw):
        """Replace the contents by a dict that `dump` returned."""
        self._now_ms = raw["now_ms"]
        self._order_by_id = OrderedDict(
            (key, _Order.from_list(fields)) for key, fields in raw["orders"]
        )
        self._expired_ids = {bytes.fromhex(key) for key in raw["expired"]}
