"""Tests of the fencing of target orders, of cache events and of stall timeouts."""

import anyio
import pytest

from almonddeal_agent.admission import Admission
from almonddeal_agent.cache import CacheView
from almonddeal_agent.engine import CacheEvent
from almonddeal_agent.fencing import TargetOrderForwarder
from almonddeal_agent.stall import (
    DECODE_MARGIN_MS,
    DECODE_TIMEOUT_MAX_MS,
    StallDetector,
)
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import AlmonddealError
from almonddeal_common.wire.gen.ttypes import AnnounceReply, Load, TargetOrder


def make_order_forwarder(fence=0):
    sent = []

    async def send(order):
        sent.append(order.fence)

    admission = Admission()
    admission.document_version = 1
    if fence:
        reply = AnnounceReply(1, 0, False, 0, True, fence)
        admission.apply_announce_reply(reply, monotonic_ms())
    order_forwarder = TargetOrderForwarder(admission, send)

    def send_order(number):
        anyio.run(
            order_forwarder.handle_target_order,
            None,
            TargetOrder(number, "load", "m", "v"),
            None,
        )

    return send_order, sent


class TestTargetOrderForwarder:
    def test_lower_fence_is_rejected(self):
        send_order, sent = make_order_forwarder(fence=100)
        send_order(105)
        with pytest.raises(AlmonddealError, match="STALE_FENCE"):
            send_order(104)
        send_order(105)
        assert sent == [105, 105]

    def test_fence_below_the_reported_one_is_rejected(self):
        send_order, sent = make_order_forwarder(fence=100)
        with pytest.raises(AlmonddealError, match="STALE_FENCE"):
            send_order(99)
        assert sent == []

    def test_all_orders_are_rejected_before_a_fence_is_reported(self):
        send_order, sent = make_order_forwarder()
        with pytest.raises(AlmonddealError, match="LEASE_EXPIRED"):
            send_order(105)
        assert sent == []


class TestCacheView:
    def test_evicted_key_is_listed_until_stored_again(self):
        view = CacheView()
        view.apply([CacheEvent(1, "stored", b"a"), CacheEvent(2, "evicted", b"a")])
        assert (view.evicted_keys, view.next_event_number) == ([b"a"], 3)
        view.apply([CacheEvent(3, "stored", b"a")])
        assert view.evicted_keys == []

    def test_missed_event_starts_a_new_epoch(self):
        view = CacheView()
        view.apply([CacheEvent(1, "evicted", b"a")])
        view.apply([CacheEvent(5, "evicted", b"b")])
        assert (view.cache_epoch, view.evicted_keys) == (1, [b"b"])

    def test_repeated_event_is_ignored(self):
        view = CacheView()
        view.apply([CacheEvent(4, "evicted", b"a")])
        view.apply([CacheEvent(3, "evicted", b"c")])
        assert (view.cache_epoch, view.evicted_keys) == (0, [b"a"])


class TestStallDetector:
    def test_timeout_follows_the_reported_load(self):
        load = Load(1, 0, 64, 0, 5.0, 0)
        stall_detector = StallDetector(lambda: load)
        now_ms = monotonic_ms()
        stall_detector.record_tokens(1, now_ms)
        stall_detector.record_tokens(1, now_ms + 5.0)
        assert stall_detector.timeout_ms == 5.0 + DECODE_MARGIN_MS
        load.token_ms = 100.0
        assert stall_detector.timeout_ms == 100.0 + DECODE_MARGIN_MS
        load.token_ms = 3000.0
        assert stall_detector.timeout_ms == DECODE_TIMEOUT_MAX_MS

    def test_first_token_timeout_allows_for_the_queue(self):
        load = Load(64, 20, 64, 0, 50.0, 0)
        assert StallDetector(lambda: load).timeout_ms > 2000.0

    # Guards against a stalled stream that is kept as the agent itself paused, and
    # against a token after the pause that counts as received in the future.
    def test_only_the_pause_is_excluded(self):
        stall_detector = StallDetector(lambda: Load(1, 0, 64, 0, 5.0, 0))
        now_ms = monotonic_ms()
        stall_detector.record_tokens(1, now_ms)
        stall_detector.exclude_pause(3000.0, now_ms + 3100.0)
        timeout_ms = stall_detector.timeout_ms
        assert not stall_detector.is_stalled(now_ms + 3000.0 + timeout_ms - 1.0)
        assert stall_detector.is_stalled(now_ms + 3000.0 + timeout_ms + 1.0)
        stall_detector.exclude_pause(3000.0, now_ms + 3200.0)
        assert stall_detector.is_stalled(now_ms + 3200.0 + timeout_ms + 1.0)
