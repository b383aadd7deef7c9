"""Tests of messages with values that their fields cannot carry."""

import logging

import anyio
import pytest

from almonddeal_common.codes import INTERNAL, AlmonddealError
from almonddeal_common.wire import codec
from almonddeal_common.wire.codec import FrameReader, encode, encode_frame
from almonddeal_common.wire.gen.ttypes import (
    AnnouncedTarget,
    AppendLog,
    Fence,
    FenceReply,
    Follow,
    FollowUpdate,
    LogEntry,
    Phase,
    Ping,
    Run,
    ShareRuns,
    ShareTargets,
)
from almonddeal_common.wire.tests.test_link import run


def make_target(name, **changes):
    target = AnnouncedTarget(name, "s", "10.0.0.1:80", "fd1", "v1", 8, 1, 9, 1, 0, 0)
    for field, value in changes.items():
        setattr(target, field, value)
    return target


BAD_TARGETS = {
    "integer beyond 64 bits": make_target("bad", born_ms=2**63),
    "integer beyond 32 bits": make_target("bad", n_slots=2**31),
    "fraction": make_target("bad", sequence=1.5),
    "number as text": make_target("bad", target=7),
    "list as text": make_target("bad", address=["10.0.0.1:80"]),
    "lone surrogate": make_target("bad", service_name="\ud800"),
    "no record": None,
}


def resend(phase, message):
    """Return a message as its receiver decodes it."""
    (frame,) = FrameReader().feed(encode_frame(phase, 1, message))
    return frame.message()


class TestRecords:
    """Pattern: one of the records that instances share cannot be encoded."""

    @pytest.mark.parametrize("name", BAD_TARGETS)
    def test_record_that_cannot_be_encoded_is_left_out(self, name):
        """Guards against one record that keeps all others from a subscriber."""
        good = [make_target("i-1"), make_target("i-2")]
        targets = [good[0], BAD_TARGETS[name], good[1]]
        update = FollowUpdate(9, b"x", targets, ["a:1"], True, [], 1)
        received = resend(Phase.ITEM, update)
        assert received.targets == good
        assert (received.version, received.content) == (9, b"x")
        assert received.member_addresses == ["a:1"]
        assert resend(Phase.NOTICE, ShareTargets(targets)).targets == good
        assert update.targets == targets

    def test_each_list_of_records_is_filtered(self):
        runs = [Run(request="r1"), Run(request="r2", n_tokens=2**31)]
        message = ShareRuns(runs, False, [], [])
        assert resend(Phase.NOTICE, message).runs == runs[:1]

    # Guards against one record that keeps a member from replying with all others.
    def test_reply_is_sent_without_bad_records(self):
        targets = [make_target("i-1"), BAD_TARGETS["integer beyond 64 bits"]]
        received = resend(Phase.REPLY, ShareTargets(targets))
        assert received.targets == targets[:1]

    # Guards against lists that reach a receiver although the sender has none.
    def test_list_that_is_missing_stays_missing(self):
        runs = [Run(request="r1"), Run(request="r2", n_tokens=2**31)]
        received = resend(Phase.NOTICE, ShareRuns(runs, False, None, None))
        assert received.runs == runs[:1]
        assert (received.evidence, received.limits) == (None, None)

    # Guards against records that are encoded again and again to be filtered.
    def test_each_record_is_tried_once(self, monkeypatch):
        tried = []

        def count(message):
            tried.append(type(message))
            return encode(message)

        monkeypatch.setattr(codec, "encode", count)
        targets = [make_target("i-1"), BAD_TARGETS["fraction"], make_target("i-2")]
        assert resend(Phase.NOTICE, ShareTargets(targets)).targets == targets[::2]
        assert tried.count(AnnouncedTarget) == len(targets)

    def test_one_line_is_logged_for_a_message(self, caplog):
        targets = [make_target("bad" * 1000, born_ms=2**63)] * 100
        with caplog.at_level(logging.ERROR):
            resend(Phase.NOTICE, ShareTargets(targets))
        (record,) = caplog.records
        assert "left out 100 records" in record.getMessage()
        assert len(record.getMessage()) < 1000

    def test_call_is_encoded_as_a_whole(self):
        message = ShareTargets([make_target("i-1"), BAD_TARGETS["fraction"]])
        with pytest.raises(AlmonddealError) as caught:
            encode_frame(Phase.CALL, 1, message)
        assert caught.value.code == INTERNAL

    @pytest.mark.parametrize("phase", [Phase.CALL, Phase.NOTICE, Phase.REPLY])
    def test_entries_of_a_log_are_not_left_out(self, phase):
        entries = [LogEntry(1, 1, 1, b""), LogEntry(1, 2**63, 1, b"")]
        with pytest.raises(AlmonddealError) as caught:
            encode_frame(phase, 1, AppendLog(1, "c1", 0, 0, entries, 0, "c2"))
        assert caught.value.code == INTERNAL


async def echo(link, message, emit):
    return FenceReply(code=0, promised_epoch=message.epoch)


async def assert_served(link):
    reply = await link.call(Fence("r", 7, False), 1000)
    assert reply.promised_epoch == 7


class TestLink:
    """Pattern: a message of a link cannot be encoded."""

    def test_call_that_cannot_be_encoded_fails_alone(self):
        async def test(link):
            await link.ready.wait()
            with pytest.raises(AlmonddealError, match="INTERNAL"):
                await link.call(Fence("r", 2**63, False), 1000)
            await assert_served(link)
            assert not link._call_by_id

        run({Fence: echo}, test)

    def test_reply_that_cannot_be_encoded_fails_its_call_alone(self):
        async def reply_badly(link, message, emit):
            return FenceReply(code=2**31)

        async def test(link):
            await link.ready.wait()
            with pytest.raises(AlmonddealError, match="INTERNAL"):
                await link.call(Fence("r", 7, False), 1000)
            assert link.is_open

        run({Fence: reply_badly}, test)

    def test_notice_that_cannot_be_encoded_does_not_end_its_sender(self):
        """Guards against a task that sends no later notices."""

        async def test(link):
            await link.ready.wait()
            link.notify(Ping(2**63))
            await assert_served(link)

        run({Fence: echo}, test)

    def test_item_with_a_bad_record_does_not_end_its_stream(self):
        """Guards against a subscription that ends with each bad record."""

        async def send_updates(link, message, emit):
            bad = BAD_TARGETS["integer beyond 64 bits"]
            emit(FollowUpdate(1, b"", [bad], [], True, [], 1))
            emit(FollowUpdate(2, b"", [make_target("i-1"), bad], [], True, [], 1))
            await anyio.sleep(60)

        async def test(link):
            await link.ready.wait()
            async with link.open_stream(Follow(0, "entry-1")) as updates:
                with anyio.fail_after(2):
                    received = [await anext(updates) for _ in range(2)]
            assert [u.version for u in received] == [1, 2]
            assert received[1].targets == [make_target("i-1")]

        run({Follow: send_updates}, test)
