"""Tests of the load view, the choice of engines, and shares of the retry budget."""

import pytest

from almonddeal.relay import load as load_module
from almonddeal.relay.choose import MEMORY_SHARE, choose_backup, choose_engine
from almonddeal.relay.load import LoadView
from almonddeal.relay.pace import PUBLISHED_MS_PER_TOKEN
from almonddeal.relay.targets import DOMAIN_LOST_TARGETS, TargetTable
from almonddeal.relay.tests.fakes import TRAITS, Fleet, announcement, make_run, streams


def target_table(domain_by_target):
    targets = TargetTable()
    for target, domain in domain_by_target.items():
        targets.merge(announcement(target, domain))
    return targets


def choose(targets, load_view, n_tokens=6000, excluded=()):
    states = targets.candidates("s", excluded)
    return choose_engine(states, load_view, n_tokens, TRAITS, "fd1", lambda: 0.5)


class TestLoadView:
    def test_sums_follow_a_run_from_start_to_end(self):
        load_view = LoadView()
        load_view.merge(make_run(backup="i-2", backup_born_ms=1000))
        load = load_view.load(announcement("i-1"))
        assert (load.n_runs, load.n_unread_tokens, load.n_used_tokens) == (
            1,
            5000,
            6000,
        )
        assert load_view.load(announcement("i-2")).n_copy_tokens == 6000
        load_view.merge(make_run(n_unread_tokens=0))
        assert load_view.load(announcement("i-1")).n_unread_tokens == 0
        assert load_view.load(announcement("i-2")).n_copy_tokens == 0
        load_view.merge(make_run(is_ended=True))
        assert load_view.load(announcement("i-1")).n_runs == 0

    def test_run_at_an_earlier_life_is_no_load_of_the_next(self):
        load_view = LoadView()
        load_view.merge(make_run())
        assert load_view.load(announcement("i-1", born_ms=2000)).n_runs == 0

    def test_run_whose_end_was_never_told_is_forgotten(self, monkeypatch):
        load_view = LoadView()
        load_view.merge(make_run())
        monkeypatch.setattr(load_module, "FORGET_RUN_MS", -1.0)
        load_view.evict_stale()
        assert load_view.load(announcement("i-1")).n_runs == 0
        assert load_view.n_instances == 0


class TestChooseEngine:
    """Pattern: long prompts that arrive while others are read and generated."""

    def test_prompts_go_where_none_is_read(self):
        targets = target_table({"i-1": "fd1", "i-2": "fd1", "i-3": "fd1"})
        load_view = LoadView()
        load_view.merge(make_run("r1", "i-1"))
        load_view.merge(make_run("r2", "i-2", n_unread_tokens=0))
        assert choose(targets, load_view).announcement.target == "i-3"
        load_view.merge(make_run("r3", "i-3"))
        assert choose(targets, load_view).announcement.target == "i-2"

    def test_a_burst_is_spread_evenly(self):
        targets = target_table({f"i-{n}": f"fd{n % 3 + 1}" for n in range(1, 13)})
        load_view = LoadView()
        for number in range(24):
            target = choose(targets, load_view).announcement.target
            load_view.merge(make_run(f"r{number}", target))
        n_runs = [
            load_view.load(s.announcement).n_runs for s in targets.target_by_id.values()
        ]
        assert sorted(n_runs) == [2] * 12

    def test_full_memory_is_no_choice(self):
        targets = target_table({"i-1": "fd1"})
        load_view = LoadView()
        room = int(MEMORY_SHARE * TRAITS.n_cache_tokens)
        load_view.merge(make_run(n_tokens=room - 100))
        assert choose(targets, load_view, n_tokens=101) is None
        assert choose(targets, load_view, n_tokens=100) is not None

    def test_backup_lies_in_another_domain(self):
        targets = target_table({"i-1": "fd1", "i-2": "fd1", "i-3": "fd2"})
        states = targets.candidates("s")
        chosen = choose_backup(
            states, announcement("i-1"), LoadView(), 6000, TRAITS, lambda: 0.5
        )
        assert chosen.announcement.target == "i-3"


class TestLostDomain:
    """Pattern: all engines of one failure domain vanish at the same moment."""

    @pytest.fixture(autouse=True)
    def _clock(self, virtual_time):
        self._virtual_time = virtual_time

    def lose(self, targets, names):
        for name in names:
            self._virtual_time.now_s += 0.01
            targets.avoid(targets.get(name), "is silent", "r")

    def test_rest_of_a_domain_comes_last_once_two_are_lost(self):
        domains = {f"i-{n}": "fd1" for n in range(1, 5)}
        targets = target_table({**domains, "i-5": "fd2"})
        self.lose(targets, ["i-1"])
        assert len(targets.candidates("s")) == 4
        self.lose(targets, ["i-2"])
        assert DOMAIN_LOST_TARGETS == 2
        assert [s.announcement.target for s in targets.candidates("s")] == ["i-5"]

    def test_suspects_are_used_if_nothing_else_is_left(self):
        targets = target_table({f"i-{n}": "fd1" for n in range(1, 5)})
        self.lose(targets, ["i-1", "i-2"])
        found = sorted(s.announcement.target for s in targets.candidates("s"))
        assert found == ["i-3", "i-4"]

    def test_target_that_started_since_is_no_suspect(self):
        targets = target_table({**{f"i-{n}": "fd1" for n in range(1, 4)}, "i-9": "fd2"})
        self.lose(targets, ["i-1", "i-2"])
        targets.merge(announcement("i-7", "fd1", born_ms=5000))
        found = sorted(s.announcement.target for s in targets.candidates("s"))
        assert found == ["i-7", "i-9"]


class TestBudgetShares:
    @pytest.mark.parametrize(("n_instances", "share"), [(1, 25.0), (30, 5.0)])
    def test_slack_is_shared_by_the_instances_seen(self, n_instances, share):
        context = Fleet({"i-1": streams(1, 2)}).context
        budget = context.budget("s")
        for number in range(n_instances):
            context.load_view.merge(make_run(f"r{number}", instance=f"entry-{number}"))
        context.rescale_retry_budgets()
        assert budget.saved == share


class TestSlowEngine:
    """Pattern: an engine works at a quarter of its speed, and reports nothing of it."""

    @pytest.fixture(autouse=True)
    def _clock(self, virtual_time):
        self._virtual_time = virtual_time

    def read(self, load_view, request, target, took_s):
        """Have a target read a prompt of 5000 tokens, then end its run."""
        load_view.merge(make_run(request, target))
        self._virtual_time.now_s += took_s
        load_view.merge(make_run(request, target, n_unread_tokens=0))
        load_view.merge(make_run(request, target, n_unread_tokens=0, is_ended=True))

    def test_slow_reading_sends_the_next_prompt_elsewhere(self):
        targets, load_view = target_table({"i-1": "fd1", "i-2": "fd1"}), LoadView()
        self.read(load_view, "r1", "i-1", 4.0)
        self.read(load_view, "r2", "i-2", 1.0)
        for number in range(5):
            assert choose(targets, load_view).announcement.target == "i-2"
            load_view.merge(make_run(f"s{number}", "i-2", n_unread_tokens=0))

    def test_reading_that_lasts_tells_before_its_end(self):
        targets, load_view = target_table({"i-1": "fd1", "i-2": "fd1"}), LoadView()
        load_view.merge(make_run("r1", "i-1"))
        load_view.merge(make_run("r2", "i-2"))
        load_view.merge(make_run("r3", "i-2"))
        assert choose(targets, load_view).announcement.target == "i-1"
        self._virtual_time.now_s += 4.0
        load_view.merge(make_run("r2", "i-2", n_unread_tokens=0))
        load_view.merge(make_run("r3", "i-2", n_unread_tokens=0))
        assert choose(targets, load_view).announcement.target == "i-2"

    def test_reading_that_was_given_up_counts_as_slow(self):
        targets, load_view = target_table({"i-1": "fd1", "i-2": "fd1"}), LoadView()
        load_view.merge(make_run("r1", "i-1"))
        self._virtual_time.now_s += 3.0
        load_view.merge(make_run("r1", "i-2"))
        load_view.merge(make_run("r1", "i-2", is_ended=True))
        assert choose(targets, load_view).announcement.target == "i-2"

    def test_run_that_ends_unread_early_tells_nothing(self):
        load_view = LoadView()
        before = load_view.reading_ms_per_token(announcement("i-1"))
        load_view.merge(make_run("r1", "i-1"))
        self._virtual_time.now_s += 0.1
        load_view.merge(make_run("r1", "i-1", is_ended=True))
        assert load_view.reading_ms_per_token(announcement("i-1")) == before

    def test_it_is_tried_again_after_a_while(self):
        load_view = LoadView()
        self.read(load_view, "r1", "i-1", 4.0)
        slow = load_view.reading_ms_per_token(announcement("i-1"))
        self._virtual_time.now_s += 60.0
        assert load_view.reading_ms_per_token(announcement("i-1")) < slow / 1.5

    def test_slow_readings_do_not_change_what_is_usual(self):
        load_view = LoadView()
        for number in range(20):
            self.read(load_view, f"r{number}", "i-1", 4.0)
        assert load_view.usual_ms_per_token == PUBLISHED_MS_PER_TOKEN

    def test_next_process_at_the_engine_is_not_thought_slow(self):
        load_view = LoadView()
        self.read(load_view, "r1", "i-1", 4.0)
        reborn = announcement("i-1", born_ms=9000)
        assert load_view.reading_ms_per_token(reborn) == load_view.usual_ms_per_token
