"""Tests of delayed, repeated and final announcements of targets."""

import anyio
import pytest

from almonddeal.announced import registry as registry_module
from almonddeal.announced.announcement import (
    DEREGISTERED,
    DRAINING,
    EXPIRED,
    READY,
    differs,
    make_deregistration,
    supersedes,
    with_state,
)
from almonddeal.announced.registry import (
    HEARTBEAT_TIMEOUT_MS,
    INACTIVE_RETENTION_MS,
    OVERDUE_MS,
    REPLICATION_INTERVAL_MS,
    TargetRegistry,
)
from almonddeal.announced.versioned_map import VersionedMap
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.wire.gen.ttypes import AnnouncedTarget


def make_announcement(
    target="i-1", state=READY, born_ms=1000, sequence=1, address="10.0.0.1:80"
):
    return AnnouncedTarget(
        target, "s", address, "fd1", "v1", 8, state, born_ms, sequence, 0, 0
    )


class TestPrecedence:
    def test_higher_sequence_within_an_incarnation_supersedes(self):
        assert supersedes(make_announcement(sequence=2), make_announcement(sequence=1))
        assert not supersedes(
            make_announcement(sequence=1), make_announcement(sequence=1)
        )

    def test_later_incarnation_supersedes_despite_a_lower_sequence(self):
        assert supersedes(
            make_announcement(born_ms=2000, sequence=1), make_announcement(sequence=99)
        )
        assert not supersedes(
            make_announcement(sequence=100), make_announcement(born_ms=2000)
        )

    def test_delayed_announcement_does_not_undo_a_deregistration(self):
        deregistered = make_deregistration("i-1", make_announcement(sequence=5), 1000)
        assert not supersedes(make_announcement(sequence=6), deregistered)
        assert supersedes(make_announcement(born_ms=2000), deregistered)

    def test_deregistration_without_a_start_time_ends_the_known_incarnation(self):
        deregistered = make_deregistration("i-1", make_announcement(sequence=5), None)
        assert (deregistered.state, deregistered.born_ms) == (DEREGISTERED, 1000)

    def test_deregistration_of_an_earlier_incarnation_is_ignored(self):
        known = make_announcement(born_ms=2000)
        assert not supersedes(make_deregistration("i-1", known, 1000), known)

    def test_deregistration_supersedes_any_sequence_of_its_incarnation(self):
        assert supersedes(
            make_deregistration("i-1", make_announcement(), 1000),
            make_announcement(sequence=50),
        )

    def test_new_sequence_alone_is_no_change(self):
        assert not differs(make_announcement(sequence=2), make_announcement(sequence=1))
        assert differs(make_announcement(state=DRAINING), make_announcement())


class TestTargetRegistry:
    def test_first_announcement_is_replicated_and_a_repeated_one_is_not(self):
        registry = TargetRegistry()
        assert registry.merge(make_announcement(sequence=1), "x")
        assert not registry.merge(make_announcement(sequence=2), "x")

    def test_repeated_announcement_is_replicated_after_the_interval(self, monkeypatch):
        registry = TargetRegistry()
        registry.merge(make_announcement(sequence=1), "x")
        monkeypatch.setattr(registry_module, "REPLICATION_INTERVAL_MS", 0.0)
        assert registry.merge(make_announcement(sequence=2), "x")

    def test_delayed_announcement_does_not_end_draining(self):
        registry = TargetRegistry()
        registry.merge(make_announcement(state=DRAINING, sequence=7), "x")
        assert not registry.merge(make_announcement(sequence=6), "y")
        assert registry.announcements.get("i-1").state == DRAINING

    def test_expired_target_is_ready_again_after_its_next_announcement(self):
        registry = TargetRegistry()
        registry.merge(make_announcement(sequence=1), "x")
        registry.expire_targets(monotonic_ms() + HEARTBEAT_TIMEOUT_MS + 1)
        assert registry.announcements.get("i-1").state == EXPIRED
        registry.merge(make_announcement(sequence=2), "x")
        assert registry.announcements.get("i-1").state == READY

    # Guards against a draining target that is used again, as an expired one.
    def test_draining_target_without_heartbeats_stays_draining(self):
        registry = TargetRegistry()
        registry.merge(make_announcement(state=DRAINING), "x")
        revision = registry.announcements.revision
        for silence_ms in (HEARTBEAT_TIMEOUT_MS, INACTIVE_RETENTION_MS - 1000):
            registry.expire_targets(monotonic_ms() + silence_ms + 1)
            assert registry.announcements.get("i-1").state == DRAINING
        assert registry.announcements.changed_since(revision) == []

    @pytest.mark.parametrize("state", [DRAINING, DEREGISTERED])
    def test_leaving_target_is_evicted_after_the_retention(self, state):
        registry = TargetRegistry()
        registry.merge(make_announcement(), "x")
        if state == DRAINING:
            registry.merge(make_announcement(state=DRAINING, sequence=2), "x")
        else:
            registry.deregister("i-1", 1000, "x")
        registry.expire_targets(monotonic_ms() + INACTIVE_RETENTION_MS + 1)
        assert registry.announcements.get("i-1") is None


class TestOverdueHeartbeats:
    # Guards against a target that restarts unnoticed and counts as the announced one.
    @pytest.mark.parametrize(
        ("is_direct", "max_silence_ms"),
        [(True, OVERDUE_MS), (False, OVERDUE_MS + REPLICATION_INTERVAL_MS)],
    )
    def test_target_is_marked_once_its_heartbeat_is_overdue(
        self, is_direct, max_silence_ms
    ):
        registry = TargetRegistry()
        registry.merge(make_announcement(), "x", is_direct)
        now_ms = monotonic_ms()
        assert not registry.mark_unheard(now_ms + max_silence_ms - 100)
        revision = registry.announcements.revision
        (marked,) = registry.mark_unheard(now_ms + max_silence_ms + 100)
        assert max_silence_ms < marked.age_ms <= max_silence_ms + 100
        assert registry.announcements.changed_since(revision) == [marked]
        assert not registry.mark_unheard(now_ms + max_silence_ms + 200)

    # Guards against a target that stays marked although control hears it.
    def test_next_heartbeat_ends_the_mark_and_is_replicated(self):
        registry = TargetRegistry()
        registry.merge(make_announcement(sequence=1), "x", is_direct=True)
        registry.mark_unheard(monotonic_ms() + 2 * OVERDUE_MS)
        revision = registry.announcements.revision
        assert registry.merge(make_announcement(sequence=2), "x", is_direct=True)
        (heard,) = registry.announcements.changed_since(revision)
        assert not heard.age_ms

    # Guards against a target that is marked as it changed its control instance.
    def test_first_heartbeat_at_another_instance_is_replicated(self):
        registry = TargetRegistry()
        registry.merge(make_announcement(sequence=1), "c2")
        assert registry.merge(make_announcement(sequence=2), "x", is_direct=True)
        assert not registry.merge(make_announcement(sequence=3), "x", is_direct=True)

    def test_mark_of_another_instance_counts_for_the_same_heartbeat_alone(self):
        registry = TargetRegistry()
        registry.merge(make_announcement(sequence=2), "c2")
        registry.merge(with_state(make_announcement(sequence=1), READY, 2500), "c2")
        assert not registry.announcements.get("i-1").age_ms
        registry.merge(with_state(make_announcement(sequence=2), READY, 2500), "c2")
        assert registry.announcements.get("i-1").age_ms == 2500

    @pytest.mark.parametrize("state", [DRAINING, DEREGISTERED])
    def test_target_that_gets_no_requests_is_not_marked(self, state):
        registry = TargetRegistry()
        registry.merge(make_announcement(state=state), "x", is_direct=True)
        assert not registry.mark_unheard(monotonic_ms() + 2 * OVERDUE_MS)


class TestVersionedMap:
    def test_changed_since_returns_only_later_changes(self):
        versioned_map = VersionedMap()
        versioned_map.put("a", 1)
        seen = versioned_map.revision
        versioned_map.put("b", 2)
        versioned_map.put("a", 3)
        assert versioned_map.changed_since(seen) == [2, 3]
        assert versioned_map.changed_since(versioned_map.revision) == []

    def test_silent_replacement_is_no_change(self):
        versioned_map = VersionedMap()
        versioned_map.put("a", 1)
        seen = versioned_map.revision
        versioned_map.replace_silently("a", 2)
        assert versioned_map.changed_since(seen) == []
        assert versioned_map.get("a") == 2

    def test_change_wakes_a_waiter(self):
        async def main():
            versioned_map = VersionedMap()
            with anyio.fail_after(5):
                async with anyio.create_task_group() as group:
                    group.start_soon(versioned_map.wait)
                    await anyio.sleep(0.01)
                    versioned_map.put("a", 1)

        anyio.run(main)
