"""Tests of the choice of the next membership change."""

from almonddeal.control.members import (
    REMOVE_AFTER_SILENCE_MS,
    JoinRequest,
    Members,
    next_members,
)


def three_voters():
    return Members({"x": "a:1", "y": "b:1", "z": "c:1"}, 3)


class TestNextMembers:
    def test_no_change_while_all_voters_reply(self):
        assert next_members(three_voters(), {}, lambda n: True, lambda n: 0.0) is None

    def test_silent_voter_stays_in_a_group_of_wanted_size(self):
        silence_ms_by_name = {"x": 0.0, "y": 1e9, "z": 0.0}
        assert (
            next_members(three_voters(), {}, lambda n: True, silence_ms_by_name.get)
            is None
        )

    def test_process_at_the_address_of_a_member_replaces_it_in_two_steps(self):
        request_by_name = {"w": JoinRequest("w", "b:1", False)}
        first = next_members(
            three_voters(), request_by_name, lambda n: True, lambda n: 0.0
        )
        assert sorted(first.address_by_name) == ["x", "z"]
        second = next_members(first, request_by_name, lambda n: True, lambda n: 0.0)
        assert sorted(second.address_by_name) == ["w", "x", "z"]
        assert second.n_wanted == 3

    def test_joining_process_becomes_a_voter_only_with_the_whole_log(self):
        request_by_name = {"w": JoinRequest("w", "d:1", False)}
        assert (
            next_members(
                three_voters(), request_by_name, lambda n: False, lambda n: 0.0
            )
            is None
        )

    def test_silent_voter_beyond_the_wanted_size_is_removed(self):
        members = three_voters().with_voter(JoinRequest("w", "d:1", False))
        silence_ms_by_name = {
            "x": 0.0,
            "y": REMOVE_AFTER_SILENCE_MS,
            "z": 5.0,
            "w": 0.0,
        }
        remaining = next_members(members, {}, lambda n: True, silence_ms_by_name.get)
        assert sorted(remaining.address_by_name) == ["w", "x", "z"]

    # Guards against a lost voter that stays until its successor has stored its own
    # addition on a slow disk: two of four voters then run, if the next disk is lost.
    def test_lost_voter_is_removed_before_its_successor_is_added(self):
        request_by_name = {"w": JoinRequest("w", "d:1", False)}
        silence_ms_by_name = {
            "x": 0.0,
            "y": REMOVE_AFTER_SILENCE_MS,
            "z": 5.0,
            "w": 0.0,
        }
        remaining = next_members(
            three_voters(), request_by_name, lambda n: True, silence_ms_by_name.get
        )
        assert sorted(remaining.address_by_name) == ["x", "z"]
        members = next_members(
            remaining, request_by_name, lambda n: True, silence_ms_by_name.get
        )
        assert sorted(members.address_by_name) == ["w", "x", "z"]
        assert members.n_wanted == 3

    # Guards against a group of two while the successor catches up, which may take long.
    def test_silent_voter_stays_until_its_successor_has_caught_up(self):
        request_by_name = {"w": JoinRequest("w", "d:1", False)}
        silence_ms_by_name = {"x": 0.0, "y": 1e9, "z": 5.0, "w": 0.0}
        assert (
            next_members(
                three_voters(), request_by_name, lambda n: False, silence_ms_by_name.get
            )
            is None
        )

    def test_silent_voter_stays_beside_an_addition(self):
        request_by_name = {"w": JoinRequest("w", "d:1", True)}
        silence_ms_by_name = {"x": 0.0, "y": 1e9, "z": 5.0, "w": 0.0}
        members = next_members(
            three_voters(), request_by_name, lambda n: True, silence_ms_by_name.get
        )
        assert sorted(members.address_by_name) == ["w", "x", "y", "z"]
        assert members.n_wanted == 4

    def test_silent_voter_stays_beside_a_silent_successor(self):
        request_by_name = {"w": JoinRequest("w", "d:1", False)}
        silence_ms_by_name = {"x": 0.0, "y": 1e9, "z": 0.0, "w": 1e9}
        assert (
            next_members(
                three_voters(), request_by_name, lambda n: False, silence_ms_by_name.get
            )
            is None
        )

    def test_voter_that_leaves_is_removed_beside_its_successor(self):
        members = three_voters().with_voter(JoinRequest("w", "d:1", False))
        remaining = next_members(members, {}, lambda n: True, lambda n: 0.0, ["y"])
        assert sorted(remaining.address_by_name) == ["w", "x", "z"]

    def test_voter_that_leaves_stays_without_a_successor(self):
        silence_ms = {"x": 0.0, "y": 0.0, "z": 0.0}.get
        assert (
            next_members(three_voters(), {}, lambda n: True, silence_ms, ["y"]) is None
        )

    # Guards against the removal of a member that restarts, in place of one that is
    # lost and was silent for a short time.
    def test_voter_that_leaves_stays_while_another_is_silent(self):
        members = three_voters().with_voter(JoinRequest("w", "d:1", False))
        silence_ms = {"x": 0.0, "y": 0.0, "z": 900.0, "w": 0.0}.get
        assert next_members(members, {}, lambda n: True, silence_ms, ["y"]) is None

    def test_addition_raises_the_wanted_size(self):
        members = three_voters().with_voter(JoinRequest("w", "d:1", True))
        assert members.n_wanted == 4
        assert next_members(members, {}, lambda n: True, lambda n: 1e9) is None

    def test_each_change_adds_or_removes_one_voter(self):
        members = three_voters()
        request_by_name = {
            "w": JoinRequest("w", "b:1", False),
            "v": JoinRequest("v", "d:1", False),
        }
        silence_ms_by_name = {"x": 1e9, "y": 0.0, "z": 0.0, "w": 0.0, "v": 0.0}
        for _ in range(5):
            changed_members = next_members(
                members, request_by_name, lambda n: True, silence_ms_by_name.get
            )
            if changed_members is None:
                break
            changed = set(members.address_by_name) ^ set(
                changed_members.address_by_name
            )
            assert len(changed) == 1
            members = changed_members
            request_by_name = {
                n: j for n, j in request_by_name.items() if n not in members
            }
        assert sorted(members.address_by_name) == ["v", "w", "z"]
