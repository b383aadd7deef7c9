"""Tests of fencing numbers, cache events and stalls."""

import anyio
import pytest

from almonddeal_agent.admission import Admission
from almonddeal_agent.cache import CacheView
from almonddeal_agent.engine import CacheEvent
from almonddeal_agent.fencing import OrderGate
from almonddeal_agent.stall import DECODE_MARGIN_MS, DECODE_MAX_MS, StallLimit
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import AlmonddealError
from almonddeal_common.wire.gen.ttypes import AnnounceReply, Load, TargetOrder


def make_gate(fence=0):
    sent = []

    async def send(order):
        sent.append(order.fence)

    admission = Admission()
    admission.document_version = 1
    if fence:
        reply = AnnounceReply(1, 0, False, 0, True, fence)
        admission.hear(reply, monotonic_ms())
    gate = OrderGate(admission, send)

    def give(number):
        anyio.run(gate.handle_order, None, TargetOrder(number, "load", "m", "v"), None)

    return give, sent


class TestOrderGate:
    def test_older_number_is_refused(self):
        give, sent = make_gate(fence=100)
        give(105)
        with pytest.raises(AlmonddealError, match="STALE_FENCE"):
            give(104)
        give(105)
        assert sent == [105, 105]

    def test_number_below_the_present_term_is_refused(self):
        give, sent = make_gate(fence=100)
        with pytest.raises(AlmonddealError, match="STALE_FENCE"):
            give(99)
        assert sent == []

    def test_agent_that_knows_no_fence_obeys_nobody(self):
        give, sent = make_gate()
        with pytest.raises(AlmonddealError, match="LEASE_EXPIRED"):
            give(105)
        assert sent == []


class TestCacheView:
    def test_evictions_are_known_until_stored_again(self):
        view = CacheView()
        view.take([CacheEvent(1, "stored", b"a"), CacheEvent(2, "evicted", b"a")])
        assert (view.evicted_keys, view.since) == ([b"a"], 3)
        view.take([CacheEvent(3, "stored", b"a")])
        assert view.evicted_keys == []

    def test_gap_makes_the_past_unknown(self):
        view = CacheView()
        view.take([CacheEvent(1, "evicted", b"a")])
        view.take([CacheEvent(5, "evicted", b"b")])
        assert (view.epoch, view.evicted_keys) == (1, [b"b"])

    def test_late_repetition_is_ignored(self):
        view = CacheView()
        view.take([CacheEvent(4, "evicted", b"a")])
        view.take([CacheEvent(3, "evicted", b"c")])
        assert (view.epoch, view.evicted_keys) == (0, [b"a"])


class TestStallLimit:
    def test_limit_follows_the_reported_load(self):
        load = Load(1, 0, 64, 0, 5.0, 0)
        limit = StallLimit(lambda: load)
        now_ms = monotonic_ms()
        limit.note_tokens(1, now_ms)
        limit.note_tokens(1, now_ms + 5.0)
        assert limit.limit_ms == 5.0 + DECODE_MARGIN_MS
        load.token_ms = 100.0
        assert limit.limit_ms == 100.0 + DECODE_MARGIN_MS
        load.token_ms = 3000.0
        assert limit.limit_ms == DECODE_MAX_MS

    def test_first_token_waits_for_the_queue(self):
        load = Load(64, 20, 64, 0, 50.0, 0)
        assert StallLimit(lambda: load).limit_ms > 2000.0
