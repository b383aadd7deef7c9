"""Tests of the forecasts by which answers begin, wait or are refused."""

import pytest

from almonddeal.relay.admission import (
    LEAST_RETRY_MS,
    MOST_RETRY_MS,
    Demand,
    RetrySchedule,
    expected_wait_ms,
    longest_wait_ms,
    possible_engines,
    spacing_ms,
)
from almonddeal.relay.load import LoadView
from almonddeal.relay.targets import TargetTable
from almonddeal.relay.tests.fakes import (
    TRAITS,
    announcement,
    fill_engine,
    make_run,
)

OBJECTIVE_MS = 4500.0


def engines(*targets):
    target_table = TargetTable()
    for target in targets:
        target_table.merge(announcement(target))
    return target_table.candidates("s")


def demand(objective_left_ms=OBJECTIVE_MS, left_ms=25_000.0):
    return Demand(5000, 6000, objective_left_ms, left_ms)


class TestAdmission:
    """Pattern: more prompts come than the engines can read at once."""

    def test_engine_that_would_begin_late_is_left_out(self):
        states, load_view = engines("i-1", "i-2"), LoadView()
        for number in range(4):
            load_view.merge(make_run(f"r{number}", "i-1", n_unread_tokens=5000))
        possible = possible_engines(states, load_view, demand())
        assert [s.announcement.target for s in possible] == ["i-2"]

    def test_late_answer_takes_only_an_engine_that_reads_little(self):
        states, load_view = engines("i-1", "i-2"), LoadView()
        load_view.merge(make_run("r1", "i-1", n_unread_tokens=5000))
        load_view.merge(make_run("r2", "i-2", n_unread_tokens=500))
        late = demand(objective_left_ms=-100.0)
        possible = possible_engines(states, load_view, late)
        assert [s.announcement.target for s in possible] == ["i-2"]

    def test_prompt_too_long_for_its_objective_is_treated_like_others(self):
        states, load_view = engines("i-1", "i-2"), LoadView()
        fill_engine(load_view, "i-1", 4)
        long_prompt = Demand(20_000, 21_000, OBJECTIVE_MS, 25_000.0)
        possible = possible_engines(states, load_view, long_prompt)
        assert len(possible) == 2
        assert longest_wait_ms(load_view, long_prompt) >= 3000.0

    def test_wait_is_that_for_the_oldest_run(self, virtual_time):
        states, load_view = engines("i-1", "i-2"), LoadView()
        fill_engine(load_view, "i-1")
        virtual_time.now_s += 3.0
        fill_engine(load_view, "i-2")
        waits_ms = [
            expected_wait_ms(states, load_view, demand(), TRAITS, n_ahead)
            for n_ahead in (0, 8, 9, 18)
        ]
        assert waits_ms[0] == waits_ms[1] == pytest.approx(load_view.run_ms - 3000.0)
        assert waits_ms[2] == pytest.approx(load_view.run_ms)
        assert waits_ms[3] > waits_ms[2]

    def test_no_wait_beside_an_idle_engine(self):
        states, load_view = engines("i-1", "i-2"), LoadView()
        fill_engine(load_view, "i-1")
        assert expected_wait_ms(states, load_view, demand(), TRAITS, 0) == 0.0

    def test_answer_that_an_engine_lost_takes_any_engine_and_waits_longer(self):
        states, load_view = engines("i-1"), LoadView()
        load_view.merge(make_run("r1", "i-1", n_unread_tokens=5000))
        lost = Demand(5000, 6000, -100.0, 15_000.0, was_sent=True)
        assert possible_engines(states, load_view, lost) == states
        late = demand(objective_left_ms=-100.0, left_ms=15_000.0)
        assert longest_wait_ms(load_view, lost) > 2 * longest_wait_ms(load_view, late)

    def test_no_engine_is_waited_for_when_none_is_known(self):
        wait_ms = expected_wait_ms([], LoadView(), demand(), TRAITS, 0)
        assert wait_ms == float("inf")

    def test_longest_wait_leaves_time_to_read_the_prompt(self):
        load_view = LoadView()
        reading_ms = 5000 * load_view.usual_ms_per_token
        wait_ms = longest_wait_ms(load_view, demand())
        assert 0 < wait_ms <= OBJECTIVE_MS - reading_ms

    def test_answer_without_time_to_run_does_not_wait(self):
        late = demand(objective_left_ms=-1.0, left_ms=2000.0)
        assert longest_wait_ms(LoadView(), late) == 0.0

    def test_usual_time_of_a_run_is_learned(self, virtual_time):
        load_view = LoadView()
        before = load_view.run_ms
        for number in range(30):
            load_view.merge(make_run(f"r{number}", "i-1", n_unread_tokens=0))
            virtual_time.now_s += 2.0
            load_view.merge(
                make_run(f"r{number}", "i-1", is_ended=True, n_unread_tokens=0)
            )
        assert 2000.0 <= load_view.run_ms < before / 2


class TestRetrySchedule:
    """Pattern: callers that were refused together come back together."""

    def test_each_is_told_a_later_time(self):
        schedule = RetrySchedule()
        times = [schedule.retry_after_ms(1000.0, 300.0) for _ in range(5)]
        assert times == pytest.approx([1000.0, 1300.0, 1600.0, 1900.0, 2200.0])

    def test_times_are_bounded(self):
        schedule = RetrySchedule()
        assert schedule.retry_after_ms(0.0, 1.0) == LEAST_RETRY_MS
        for _ in range(100):
            last_ms = schedule.retry_after_ms(float("inf"), 500.0)
        assert last_ms == MOST_RETRY_MS

    def test_spacing_grows_with_instances_and_falls_with_engines(self):
        load_view = LoadView()
        few = spacing_ms(engines("i-1"), load_view, demand(), TRAITS)
        more = spacing_ms(engines("i-1", "i-2"), load_view, demand(), TRAITS)
        assert more == pytest.approx(few / 2)
        for number in range(3):
            load_view.merge(make_run(f"r{number}", "i-1", instance=f"entry-{number}"))
        assert spacing_ms(engines("i-1"), load_view, demand(), TRAITS) > 2 * few
