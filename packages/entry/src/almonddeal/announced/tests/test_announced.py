"""Tests of announcements: late, repeated and final words of targets."""

import anyio

from almonddeal.announced import registry as registry_module
from almonddeal.announced.announcement import (
    DEREGISTERED,
    DRAINING,
    EXPIRED,
    READY,
    differs,
    gone_record,
    supersedes,
)
from almonddeal.announced.registry import SILENT_AFTER_MS, TargetRegistry
from almonddeal.announced.versioned_map import VersionedMap
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.wire.gen.ttypes import AnnouncedTarget


def announcement(
    target="i-1", state=READY, born_ms=1000, sequence=1, address="10.0.0.1:80"
):
    return AnnouncedTarget(
        target, "s", address, "fd1", "v1", 8, state, born_ms, sequence, 0, 0
    )


class TestRecords:
    def test_later_word_of_one_life_is_newer(self):
        assert supersedes(announcement(sequence=2), announcement(sequence=1))
        assert not supersedes(announcement(sequence=1), announcement(sequence=1))

    def test_later_life_is_newer_though_it_counts_anew(self):
        assert supersedes(
            announcement(born_ms=2000, sequence=1), announcement(sequence=99)
        )
        assert not supersedes(announcement(sequence=100), announcement(born_ms=2000))

    def test_late_ready_word_does_not_bring_back_a_target_that_left(self):
        left = gone_record("i-1", announcement(sequence=5), 1000)
        assert not supersedes(announcement(sequence=6), left)
        assert supersedes(announcement(born_ms=2000), left)

    def test_departure_without_a_start_ends_the_life_that_is_known(self):
        left = gone_record("i-1", announcement(sequence=5), None)
        assert (left.state, left.born_ms) == (DEREGISTERED, 1000)

    def test_departure_of_an_earlier_life_changes_nothing(self):
        known = announcement(born_ms=2000)
        assert not supersedes(gone_record("i-1", known, 1000), known)

    def test_departure_is_newer_than_any_word_of_its_life(self):
        assert supersedes(
            gone_record("i-1", announcement(), 1000), announcement(sequence=50)
        )

    def test_sequence_alone_is_no_news(self):
        assert not differs(announcement(sequence=2), announcement(sequence=1))
        assert differs(announcement(state=DRAINING), announcement())


class TestTargetRegistry:
    def test_first_word_is_shared_and_a_repeat_is_not(self):
        registry = TargetRegistry()
        assert registry.merge(announcement(sequence=1), "x")
        assert not registry.merge(announcement(sequence=2), "x")

    def test_life_is_refreshed_at_intervals(self, monkeypatch):
        registry = TargetRegistry()
        registry.merge(announcement(sequence=1), "x")
        monkeypatch.setattr(registry_module, "REFRESH_MS", 0.0)
        assert registry.merge(announcement(sequence=2), "x")

    def test_late_word_after_draining_is_ignored(self):
        registry = TargetRegistry()
        registry.merge(announcement(state=DRAINING, sequence=7), "x")
        assert not registry.merge(announcement(sequence=6), "y")
        assert registry.announcements.get("i-1").state == DRAINING

    def test_silent_target_is_marked_and_comes_back_with_its_next_word(self):
        registry = TargetRegistry()
        registry.merge(announcement(sequence=1), "x")
        registry.check_silence(monotonic_ms() + SILENT_AFTER_MS + 1)
        assert registry.announcements.get("i-1").state == EXPIRED
        registry.merge(announcement(sequence=2), "x")
        assert registry.announcements.get("i-1").state == READY

    def test_target_that_left_is_forgotten_in_the_end(self):
        registry = TargetRegistry()
        registry.merge(announcement(), "x")
        registry.deregister("i-1", 1000, "x")
        registry.check_silence(monotonic_ms() + registry_module.KEEP_GONE_MS + 1)
        assert registry.announcements.get("i-1") is None


class TestBoard:
    def test_since_gives_only_what_changed_last(self):
        announcements = VersionedMap()
        announcements.put("a", 1)
        seen = announcements.revision
        announcements.put("b", 2)
        announcements.put("a", 3)
        assert announcements.changed_since(seen) == [2, 3]
        assert announcements.changed_since(announcements.revision) == []

    def test_quiet_replacement_is_no_change(self):
        announcements = VersionedMap()
        announcements.put("a", 1)
        seen = announcements.revision
        announcements.replace_quietly("a", 2)
        assert announcements.changed_since(seen) == []
        assert announcements.get("a") == 2

    def test_waiter_wakes_on_a_change(self):
        async def main():
            announcements = VersionedMap()
            with anyio.fail_after(5):
                async with anyio.create_task_group() as group:
                    group.start_soon(announcements.wait)
                    await anyio.sleep(0.01)
                    announcements.put("a", 1)

        anyio.run(main)
