"""Tests of the target directory and of the selection policies."""

import random

from almonddeal.document.model import FleetDocument
from almonddeal.targets.choose import (
    least_loaded,
    random_choice,
    two_choices,
    with_affinity,
)
from almonddeal.targets.directory import TargetDirectory
from almonddeal.targets.tests.fakes import make_state, make_target


class FakeReplica:
    def __init__(self, **raw):
        self.document = FleetDocument(3, raw)


def make_directory(**raw):
    return TargetDirectory(FakeReplica(**raw), None, lambda: None)


class TestTargetDirectory:
    def test_leaving_target_is_not_a_candidate(self):
        directory = make_directory(leaving=["a"])
        directory.update(make_state("a"))
        directory.update(make_state("b"))
        assert [t.name for t in directory.candidates()] == ["b"]

    def test_stopping_target_is_not_a_candidate(self):
        directory = make_directory()
        directory.update(make_state("a", stopping=True))
        assert directory.candidates() == []

    def test_older_announcement_is_ignored(self):
        directory = make_directory()
        directory.update(make_state("a", sequence=5, n_running=7))
        directory.update(make_state("a", sequence=4, n_running=1))
        assert directory.target_by_name["a"].n_in_progress == 7

    def test_new_incarnation_replaces_the_old_one(self):
        directory = make_directory()
        directory.update(make_state("a", sequence=50, incarnation=1))
        directory.update(make_state("a", sequence=1, incarnation=2, n_running=2))
        assert directory.target_by_name["a"].n_in_progress == 2

    def test_lower_incarnation_replaces_a_silent_one(self, monkeypatch):
        # An agent restarts after its wall clock was set back, so its incarnation is
        # lower. It is accepted only once the old process counts as silent.
        directory = make_directory()
        directory.update(make_state("a", sequence=50, incarnation=9000))
        restarted = make_state("a", sequence=1, incarnation=4000, n_running=2)
        directory.update(restarted)
        assert directory.target_by_name["a"].state.incarnation == 9000
        received_ms = directory.target_by_name["a"].received_ms
        path = "almonddeal.targets.directory.monotonic_ms"
        monkeypatch.setattr(path, lambda: received_ms + 2600)
        directory.update(make_state("a", sequence=49, incarnation=9000))
        assert directory.candidates() == []
        directory.update(restarted)
        assert [t.n_in_progress for t in directory.candidates()] == [2]

    def test_silent_target_is_not_a_candidate(self, monkeypatch):
        directory = make_directory()
        directory.update(make_state("a"))
        received_ms = directory.target_by_name["a"].received_ms
        path = "almonddeal.targets.directory.monotonic_ms"
        monkeypatch.setattr(path, lambda: received_ms + 2600)
        assert directory.candidates() == []

    def test_sent_requests_count_until_the_next_announcement(self):
        target = make_target(n_running=3)
        with target, target:
            assert target.n_in_progress == 5
            target.update(make_state(sequence=2, n_running=5))
            assert target.n_in_progress == 5
        assert target.n_in_flight_here == 0


class TestChoose:
    def test_least_loaded(self):
        targets = [make_target("a", n_running=5), make_target("b", n_running=2)]
        assert least_loaded()(targets, "").name == "b"

    def test_full_targets_are_not_chosen(self):
        targets = [make_target("a", n_running=50)]
        chance = random.Random(1)
        for policy in (least_loaded(), two_choices(chance), random_choice(chance)):
            assert policy(targets, "") is None
            assert policy([], "") is None

    def test_affinity_holds_until_the_target_is_too_occupied(self):
        preferred = make_target("a", n_running=0)
        other = make_target("b", n_running=1)
        choose = with_affinity(least_loaded())
        assert choose([preferred, other], "long prompt") is preferred
        preferred.state.load.n_running = 5
        assert choose([preferred, other], "long prompt") is preferred
        preferred.state.load.n_running = 9
        assert choose([preferred, other], "long prompt") is other

    def test_two_choices_spreads_the_load_evenly(self):
        targets = [make_target(f"t{n}", n_slots=1000) for n in range(20)]
        choose = two_choices(random.Random(1))
        for _ in range(2000):
            choose(targets, "").__enter__()
        counts = [t.n_in_flight_here for t in targets]
        assert max(counts) - min(counts) < 12
