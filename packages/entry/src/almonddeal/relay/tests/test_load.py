"""Tests of the load view, engine selection, lost domains and retry budget shares."""

import pytest

from almonddeal.relay import load as load_module
from almonddeal.relay.choose import KV_CACHE_SHARE, choose_backup, choose_engine
from almonddeal.relay.load import LoadView
from almonddeal.relay.prefill_times import SPECIFIED_MS_PER_TOKEN
from almonddeal.relay.targets import MIN_DOMAIN_EJECTIONS, TargetTable
from almonddeal.relay.tests.fakes import (
    TRAITS,
    make_announcement,
    make_run,
)


def make_table(domain_by_target):
    targets = TargetTable()
    for target, domain in domain_by_target.items():
        targets.merge(make_announcement(target, domain))
    return targets


def choose(targets, load_view, n_tokens=6000, excluded=()):
    engines = targets.candidates("s", excluded)
    return choose_engine(engines, load_view, n_tokens, TRAITS, "fd1", lambda: 0.5)


class TestLoadView:
    def test_load_follows_a_run_from_start_to_end(self):
        load_view = LoadView()
        load_view.merge(make_run(backup="i-2", backup_born_ms=1000))
        load = load_view.load(make_announcement("i-1"))
        assert (load.n_runs, load.n_unread_tokens, load.n_reserved_tokens) == (
            1,
            5000,
            6000,
        )
        assert load_view.load(make_announcement("i-2")).n_copy_tokens == 6000
        load_view.merge(make_run(n_unread_tokens=0))
        assert load_view.load(make_announcement("i-1")).n_unread_tokens == 0
        assert load_view.load(make_announcement("i-2")).n_copy_tokens == 0
        load_view.merge(make_run(is_ended=True))
        assert load_view.load(make_announcement("i-1")).n_runs == 0

    def test_run_at_an_earlier_incarnation_is_not_counted(self):
        load_view = LoadView()
        load_view.merge(make_run())
        assert load_view.load(make_announcement("i-1", born_ms=2000)).n_runs == 0

    def test_run_whose_end_is_never_reported_expires(self, monkeypatch):
        load_view = LoadView()
        load_view.merge(make_run())
        monkeypatch.setattr(load_module, "REPORT_EXPIRY_MS", -1.0)
        load_view.evict_stale()
        assert load_view.load(make_announcement("i-1")).n_runs == 0
        assert load_view.n_instances == 0


class TestChooseEngine:
    """Long prompts arrive while engines prefill and decode others."""

    def test_prompt_goes_to_an_engine_without_prefill_in_progress(self):
        targets = make_table({"i-1": "fd1", "i-2": "fd1", "i-3": "fd1"})
        load_view = LoadView()
        load_view.merge(make_run("r1", "i-1"))
        load_view.merge(make_run("r2", "i-2", n_unread_tokens=0))
        assert choose(targets, load_view).announcement.target == "i-3"
        load_view.merge(make_run("r3", "i-3"))
        assert choose(targets, load_view).announcement.target == "i-2"

    def test_burst_is_spread_evenly(self):
        targets = make_table({f"i-{n}": f"fd{n % 3 + 1}" for n in range(1, 13)})
        load_view = LoadView()
        for number in range(24):
            target = choose(targets, load_view).announcement.target
            load_view.merge(make_run(f"r{number}", target))
        n_runs = [
            load_view.load(t.announcement).n_runs for t in targets.target_by_id.values()
        ]
        assert sorted(n_runs) == [2] * 12

    def test_engine_without_free_kv_cache_is_not_chosen(self):
        targets = make_table({"i-1": "fd1"})
        load_view = LoadView()
        n_usable_tokens = int(KV_CACHE_SHARE * TRAITS.n_cache_tokens)
        load_view.merge(make_run(n_tokens=n_usable_tokens - 100))
        assert choose(targets, load_view, n_tokens=101) is None
        assert choose(targets, load_view, n_tokens=100) is not None

    def test_backup_is_in_another_failure_domain(self):
        targets = make_table({"i-1": "fd1", "i-2": "fd1", "i-3": "fd2"})
        engines = targets.candidates("s")
        chosen = choose_backup(
            engines, make_announcement("i-1"), LoadView(), 6000, TRAITS, lambda: 0.5
        )
        assert chosen.announcement.target == "i-3"


class TestLostDomain:
    """All engines of one failure domain are lost at the same moment."""

    @pytest.fixture(autouse=True)
    def _clock(self, virtual_time):
        self._virtual_time = virtual_time

    def eject(self, targets, target_ids):
        for target_id in target_ids:
            self._virtual_time.now_s += 0.01
            targets.eject(targets.get(target_id), "stalled", "r")

    def test_domain_is_avoided_once_two_of_its_targets_are_ejected(self):
        domains = {f"i-{n}": "fd1" for n in range(1, 5)}
        targets = make_table({**domains, "i-5": "fd2"})
        self.eject(targets, ["i-1"])
        assert len(targets.candidates("s")) == 4
        self.eject(targets, ["i-2"])
        assert MIN_DOMAIN_EJECTIONS == 2
        assert [t.announcement.target for t in targets.candidates("s")] == ["i-5"]

    def test_targets_in_a_lost_domain_are_used_if_there_is_no_other(self):
        targets = make_table({f"i-{n}": "fd1" for n in range(1, 5)})
        self.eject(targets, ["i-1", "i-2"])
        found = sorted(t.announcement.target for t in targets.candidates("s"))
        assert found == ["i-3", "i-4"]

    def test_target_that_started_later_is_not_in_the_lost_domain(self):
        targets = make_table({**{f"i-{n}": "fd1" for n in range(1, 4)}, "i-9": "fd2"})
        self.eject(targets, ["i-1", "i-2"])
        targets.merge(make_announcement("i-7", "fd1", born_ms=5000))
        found = sorted(t.announcement.target for t in targets.candidates("s"))
        assert found == ["i-7", "i-9"]


class TestSlowEngine:
    """An engine runs at a quarter of its speed without reporting it."""

    @pytest.fixture(autouse=True)
    def _clock(self, virtual_time):
        self._virtual_time = virtual_time

    def prefill(self, load_view, request, target, took_s):
        """Have a target prefill 5000 tokens in the given time, then end the run."""
        load_view.merge(make_run(request, target))
        self._virtual_time.now_s += took_s
        load_view.merge(make_run(request, target, n_unread_tokens=0))
        load_view.merge(make_run(request, target, n_unread_tokens=0, is_ended=True))

    def test_slow_prefill_sends_the_next_prompts_elsewhere(self):
        targets, load_view = make_table({"i-1": "fd1", "i-2": "fd1"}), LoadView()
        self.prefill(load_view, "r1", "i-1", 4.0)
        self.prefill(load_view, "r2", "i-2", 1.0)
        for number in range(5):
            assert choose(targets, load_view).announcement.target == "i-2"
            load_view.merge(make_run(f"s{number}", "i-2", n_unread_tokens=0))

    def test_slow_prefill_counts_before_it_ends(self):
        targets, load_view = make_table({"i-1": "fd1", "i-2": "fd1"}), LoadView()
        load_view.merge(make_run("r1", "i-1"))
        load_view.merge(make_run("r2", "i-2"))
        load_view.merge(make_run("r3", "i-2"))
        assert choose(targets, load_view).announcement.target == "i-1"
        self._virtual_time.now_s += 4.0
        load_view.merge(make_run("r2", "i-2", n_unread_tokens=0))
        load_view.merge(make_run("r3", "i-2", n_unread_tokens=0))
        assert choose(targets, load_view).announcement.target == "i-2"

    def test_abandoned_slow_prefill_counts(self):
        targets, load_view = make_table({"i-1": "fd1", "i-2": "fd1"}), LoadView()
        load_view.merge(make_run("r1", "i-1"))
        self._virtual_time.now_s += 3.0
        load_view.merge(make_run("r1", "i-2"))
        load_view.merge(make_run("r1", "i-2", is_ended=True))
        assert choose(targets, load_view).announcement.target == "i-2"

    def test_run_that_ends_early_in_prefill_is_no_sample(self):
        load_view = LoadView()
        before = load_view.prefill_ms_per_token(make_announcement("i-1"))
        load_view.merge(make_run("r1", "i-1"))
        self._virtual_time.now_s += 0.1
        load_view.merge(make_run("r1", "i-1", is_ended=True))
        assert load_view.prefill_ms_per_token(make_announcement("i-1")) == before

    def test_slow_estimate_decays(self):
        load_view = LoadView()
        self.prefill(load_view, "r1", "i-1", 4.0)
        slow = load_view.prefill_ms_per_token(make_announcement("i-1"))
        self._virtual_time.now_s += 60.0
        assert load_view.prefill_ms_per_token(make_announcement("i-1")) < slow / 1.5

    def test_slow_prefills_do_not_change_the_typical_prefill_time(self):
        load_view = LoadView()
        for number in range(20):
            self.prefill(load_view, f"r{number}", "i-1", 4.0)
        assert load_view.typical_prefill_ms_per_token == SPECIFIED_MS_PER_TOKEN

    def test_restarted_engine_starts_at_the_typical_prefill_time(self):
        load_view = LoadView()
        self.prefill(load_view, "r1", "i-1", 4.0)
        restarted = make_announcement("i-1", born_ms=9000)
        assert (
            load_view.prefill_ms_per_token(restarted)
            == load_view.typical_prefill_ms_per_token
        )
