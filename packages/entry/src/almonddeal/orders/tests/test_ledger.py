"""Tests of the order ledger, also against a reference model."""

import hashlib

from hypothesis import given, settings
from hypothesis import strategies as st

from almonddeal.orders import ledger as ledger_module
from almonddeal.orders.ledger import (
    CLAIMED,
    DONE,
    RELEASED,
    UNKNOWN_OUTCOME,
    OrderLedger,
)
from almonddeal_common.codes import KEY_REUSED, OK, ORDER_EXPIRED
from almonddeal_common.wire.gen.ttypes import ClaimOrder, ServiceReply, SettleOrder

DAY_MS = 24 * 3600 * 1000
KEYS = st.sampled_from("abc")
CLAIMS = st.sampled_from(("c1", "c2", "c3"))
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("claim"), KEYS, CLAIMS, st.sampled_from("xy")),
        st.tuples(
            st.just("settle"),
            KEYS,
            CLAIMS,
            st.sampled_from((DONE, RELEASED, UNKNOWN_OUTCOME)),
        ),
        st.tuples(st.just("dump")),
    ),
    max_size=60,
)


def order_id_of(key):
    return hashlib.sha256(key.encode()).hexdigest()


def make_claim(key, claim, body="x", at_ms=1):
    return ClaimOrder(order_id_of(key), body.encode(), claim, "entry0", 1, "", at_ms)


def make_settle(key, claim, outcome, at_ms=1):
    reply = ServiceReply(200, {}, claim.encode(), 0, "yes", "")
    return SettleOrder(
        order_id_of(key), claim, outcome, reply if outcome == DONE else None, at_ms
    )


class ReferenceLedger:
    """Reference model: the rules of claiming and settling on a dict."""

    def __init__(self):
        self.order_by_key = {}

    def claim(self, key, claim, body):
        state, kept_claim, kept_body = self.order_by_key.setdefault(
            key, (CLAIMED, claim, body)
        )
        if kept_body != body:
            return KEY_REUSED.number, state, None
        return OK.number, state, kept_claim

    def settle(self, key, claim, outcome):
        state, kept_claim, body = self.order_by_key.get(key, (RELEASED, None, None))
        if kept_claim != claim:
            return
        if state == CLAIMED and outcome == RELEASED:
            del self.order_by_key[key]
        elif state == CLAIMED or (state == UNKNOWN_OUTCOME and outcome == DONE):
            self.order_by_key[key] = (outcome, kept_claim, body)


class TestOrderLedger:
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(STEPS)
    def test_results_equal_those_of_the_reference_model(self, steps):
        ledger, reference = OrderLedger(), ReferenceLedger()
        for kind, *fields in steps:
            if kind == "claim":
                result = ledger.claim(make_claim(*fields))
                expected = reference.claim(*fields)
                assert (result.code, result.state, result.claim) == expected
            elif kind == "settle":
                ledger.settle(make_settle(*fields))
                reference.settle(*fields)
            else:
                restored = OrderLedger()
                restored.restore(ledger.dump())
                ledger = restored

    def test_expired_key_cannot_be_claimed_again(self):
        ledger = OrderLedger()
        ledger.claim(make_claim("a", "c1"))
        ledger.settle(make_settle("a", "c1", DONE))
        ledger.claim(make_claim("b", "c2", at_ms=30 * DAY_MS))
        result = ledger.claim(make_claim("a", "c3", at_ms=30 * DAY_MS))
        assert result.code == ORDER_EXPIRED.number
        restored = OrderLedger()
        restored.restore(ledger.dump())
        again = restored.claim(make_claim("a", "c3", at_ms=31 * DAY_MS))
        assert again.code == ORDER_EXPIRED.number

    def test_number_of_retained_orders_is_bounded(self, monkeypatch):
        monkeypatch.setattr(ledger_module, "MAX_KEPT_ORDERS", 10)
        ledger = OrderLedger()
        for number in range(50):
            ledger.claim(make_claim(str(number), f"c{number}"))
        assert len(ledger) == 50
        assert len(ledger.dump()["orders"]) <= 11

    def test_late_reply_replaces_an_unknown_outcome(self):
        ledger = OrderLedger()
        ledger.claim(make_claim("a", "c1"))
        ledger.settle(make_settle("a", "c1", UNKNOWN_OUTCOME))
        ledger.settle(make_settle("a", "c1", DONE))
        assert ledger.claim(make_claim("a", "c2")).state == DONE

    def test_unknown_outcome_is_never_released(self):
        ledger = OrderLedger()
        ledger.claim(make_claim("a", "c1"))
        ledger.settle(make_settle("a", "c1", UNKNOWN_OUTCOME))
        ledger.settle(make_settle("a", "c1", RELEASED))
        assert ledger.claim(make_claim("a", "c2")).state == UNKNOWN_OUTCOME


class TestUnsettledClaims:
    def test_claim_that_is_evicted_before_it_is_settled_never_runs_again(
        self, monkeypatch
    ):
        monkeypatch.setattr(ledger_module, "MAX_KEPT_ORDERS", 2)
        ledger = OrderLedger()
        assert ledger.claim(make_claim("a", "c1")).claim == "c1"
        for key in ("b", "c"):
            ledger.claim(make_claim(key, "c1"))
        ledger.claim(make_claim("c", "c2"))
        assert ledger.claim(make_claim("a", "c2")).code == ORDER_EXPIRED.number
        for outcome in (RELEASED, DONE, UNKNOWN_OUTCOME):
            ledger.settle(make_settle("a", "c1", outcome))
            assert ledger.claim(make_claim("a", "c3")).code == ORDER_EXPIRED.number
