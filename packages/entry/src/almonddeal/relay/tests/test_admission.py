"""Tests of admission control: admissible engines, waits and Retry-After times."""

import pytest

from almonddeal.relay.admission import (
    MAX_RETRY_MS,
    MIN_RETRY_MS,
    Demand,
    RetrySchedule,
    admissible_engines,
    expected_wait_ms,
    max_wait_ms,
    retry_spacing_ms,
)
from almonddeal.relay.load import LoadView
from almonddeal.relay.targets import TargetTable
from almonddeal.relay.tests.fakes import (
    TRAITS,
    fill_engine,
    make_announcement,
    make_run,
)

OBJECTIVE_MS = 4500.0


def make_engines(*targets):
    target_table = TargetTable()
    for target in targets:
        target_table.merge(make_announcement(target))
    return target_table.candidates("s")


def make_demand(objective_left_ms=OBJECTIVE_MS, left_ms=25_000.0):
    return Demand(5000, 6000, objective_left_ms, left_ms)


class TestAdmission:
    """Prompts arrive faster than the engines can prefill them."""

    def test_engine_that_would_miss_the_objective_is_not_admissible(self):
        engines, load_view = make_engines("i-1", "i-2"), LoadView()
        for number in range(4):
            load_view.merge(make_run(f"r{number}", "i-1", n_unread_tokens=5000))
        admissible = admissible_engines(engines, load_view, make_demand())
        assert [e.announcement.target for e in admissible] == ["i-2"]

    def test_late_request_starts_only_at_an_engine_with_little_to_prefill(self):
        engines, load_view = make_engines("i-1", "i-2"), LoadView()
        load_view.merge(make_run("r1", "i-1", n_unread_tokens=5000))
        load_view.merge(make_run("r2", "i-2", n_unread_tokens=500))
        late = make_demand(objective_left_ms=-100.0)
        admissible = admissible_engines(engines, load_view, late)
        assert [e.announcement.target for e in admissible] == ["i-2"]

    def test_prompt_too_long_for_the_objective_is_admissible_and_may_wait(self):
        engines, load_view = make_engines("i-1", "i-2"), LoadView()
        fill_engine(load_view, "i-1", 4)
        long_prompt = Demand(20_000, 21_000, OBJECTIVE_MS, 25_000.0)
        admissible = admissible_engines(engines, load_view, long_prompt)
        assert len(admissible) == 2
        assert max_wait_ms(load_view, long_prompt) >= 3000.0

    def test_expected_wait_is_until_the_oldest_run_ends(self, virtual_time):
        engines, load_view = make_engines("i-1", "i-2"), LoadView()
        fill_engine(load_view, "i-1")
        virtual_time.now_s += 3.0
        fill_engine(load_view, "i-2")
        waits_ms = [
            expected_wait_ms(engines, load_view, make_demand(), TRAITS, n_ahead)
            for n_ahead in (0, 8, 9, 18)
        ]
        assert (
            waits_ms[0] == waits_ms[1] == pytest.approx(load_view.mean_run_ms - 3000.0)
        )
        assert waits_ms[2] == pytest.approx(load_view.mean_run_ms)
        assert waits_ms[3] > waits_ms[2]

    def test_expected_wait_is_zero_with_an_idle_engine(self):
        engines, load_view = make_engines("i-1", "i-2"), LoadView()
        fill_engine(load_view, "i-1")
        assert expected_wait_ms(engines, load_view, make_demand(), TRAITS, 0) == 0.0

    def test_request_that_may_have_run_starts_anywhere_and_waits_longer(self):
        engines, load_view = make_engines("i-1"), LoadView()
        load_view.merge(make_run("r1", "i-1", n_unread_tokens=5000))
        possibly_run = Demand(5000, 6000, -100.0, 15_000.0, may_have_run=True)
        assert admissible_engines(engines, load_view, possibly_run) == engines
        late = make_demand(objective_left_ms=-100.0, left_ms=15_000.0)
        assert max_wait_ms(load_view, possibly_run) > 2 * max_wait_ms(load_view, late)

    def test_expected_wait_is_infinite_without_engines(self):
        wait_ms = expected_wait_ms([], LoadView(), make_demand(), TRAITS, 0)
        assert wait_ms == float("inf")

    def test_max_wait_leaves_time_for_the_prefill(self):
        load_view = LoadView()
        prefill_ms = 5000 * load_view.typical_prefill_ms_per_token
        wait_ms = max_wait_ms(load_view, make_demand())
        assert 0 < wait_ms <= OBJECTIVE_MS - prefill_ms

    def test_request_without_time_for_a_run_does_not_wait(self):
        late = make_demand(objective_left_ms=-1.0, left_ms=2000.0)
        assert max_wait_ms(LoadView(), late) == 0.0

    def test_mean_run_duration_follows_finished_runs(self, virtual_time):
        load_view = LoadView()
        before = load_view.mean_run_ms
        for number in range(30):
            load_view.merge(make_run(f"r{number}", "i-1", n_unread_tokens=0))
            virtual_time.now_s += 2.0
            load_view.merge(
                make_run(f"r{number}", "i-1", is_ended=True, n_unread_tokens=0)
            )
        assert 2000.0 <= load_view.mean_run_ms < before / 2


class TestRetrySchedule:
    """Requests rejected at the same time must not be retried at the same time."""

    def test_successive_retry_times_are_spaced(self):
        schedule = RetrySchedule()
        retries_ms = [schedule.retry_after_ms(1000.0, 300.0) for _ in range(5)]
        assert retries_ms == pytest.approx([1000.0, 1300.0, 1600.0, 1900.0, 2200.0])

    def test_retry_times_are_bounded(self):
        schedule = RetrySchedule()
        assert schedule.retry_after_ms(0.0, 1.0) == MIN_RETRY_MS
        for _ in range(100):
            last_ms = schedule.retry_after_ms(float("inf"), 500.0)
        assert last_ms == MAX_RETRY_MS

    def test_spacing_grows_with_instances_and_falls_with_engines(self):
        load_view = LoadView()
        few = retry_spacing_ms(make_engines("i-1"), load_view, make_demand(), TRAITS)
        more = retry_spacing_ms(
            make_engines("i-1", "i-2"), load_view, make_demand(), TRAITS
        )
        assert more == pytest.approx(few / 2)
        for number in range(3):
            load_view.merge(make_run(f"r{number}", "i-1", instance=f"entry-{number}"))
        assert (
            retry_spacing_ms(make_engines("i-1"), load_view, make_demand(), TRAITS)
            > 2 * few
        )
