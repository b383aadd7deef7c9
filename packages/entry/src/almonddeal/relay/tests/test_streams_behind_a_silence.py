"""Tests of streams that left a silent engine, without a network.

The pattern is sound engines that fall silent one after the other, or are full as a
stream comes from a silent one. No engine crashes, so that each stream can be completed.
"""

import anyio
import pytest

from almonddeal.relay.admission_queue import REFUSAL_BACKOFF_MS
from almonddeal.relay.choose import SelectionPolicy
from almonddeal.relay.moves import MAX_ATTEMPTS
from almonddeal.relay.streams import relay_stream
from almonddeal.relay.tests.fakes import (
    ResponseHead,
    admit_stream,
    make_route,
)
from almonddeal.relay.tests.silent_targets import DARK_S, SilentFleet, TimedWriter
from almonddeal.routing.model import STREAM
from almonddeal_common.codes import DEADLINE, NOT_REACHED, AlmonddealError
from almonddeal_common.virtual_time import run_in_virtual_time

DOMAINS = {"i-1": "fd1", "i-2": "fd2", "i-3": "fd3", "i-4": "fd1"}
TIMEOUT_MS = 20_000.0
BEFORE_THE_FIRST_EVENT = (0.0, 2.4)


def has_activity(announcement, since_ms):
    """Stand for events from other engines: this instance is not cut off."""
    return True


def prefer_first(engines, *args):
    """Return the engine that was announced first, or None."""
    return engines[0] if engines else None


def choose_no_backup(*args):
    """Return None, so that a stream resumes at the engine that is preferred."""


def relay(make_fleet, **route_changes):
    """Relay one stream that begins at i-1; returns the fleet and the writer."""

    async def main():
        fleet = make_fleet()
        fleet.context.selection_policy = SelectionPolicy(
            engine=prefer_first, backup=choose_no_backup
        )
        writer = TimedWriter()
        route = make_route(STREAM, timeout_ms=TIMEOUT_MS, **route_changes)
        admitted = admit_stream(route, TIMEOUT_MS, n_prompt=100)
        with anyio.fail_after(30):
            await relay_stream(admitted, fleet.context, writer)
        return fleet, writer

    return run_in_virtual_time(main)


def make_active_fleet(pauses_by_target, **options):
    """Return a `SilentFleet` whose instance receives events of other engines, too."""
    fleet = SilentFleet(pauses_by_target, DOMAINS, **options)
    fleet.context.targets.has_activity = has_activity
    return fleet


class TestCrashesOfSilentEngines:
    """The silence of an engine under a new stream counts as a crash."""

    # Guards against a stream that is kept at a silent engine, as it may have crashed
    # two, leaves it as the ejection of the engine ends, and is cut.
    @pytest.mark.parametrize("silence_s", [0.9, 1.4, 1.9, 2.6, 4.0])
    def test_stream_stays_at_the_second_silent_engine(self, silence_s):
        pauses = {"i-1": [(0.1, 1.4)], "i-2": [(0.6, 0.6 + silence_s)]}
        fleet, writer = relay(
            lambda: make_active_fleet({**pauses, "i-3": [], "i-4": []})
        )
        assert fleet.is_complete(writer)
        assert fleet.tried == ["i-1", "i-2"]

    # Guards against crashes that count against a request though an engine has survived
    # it since: the stream is cut as the third engine falls silent.
    def test_stream_that_an_engine_survived_leaves_the_next_silent_one(self):
        pauses = {"i-1": [(0.1, 1.4)], "i-2": [(0.6, 1.6), (2.8, 4.0)]}
        fleet, writer = relay(
            lambda: make_active_fleet({**pauses, "i-3": []}, n_events=120)
        )
        assert fleet.is_complete(writer)
        assert fleet.tried == ["i-1", "i-2", "i-3"]

    # Guards against a silence that counts as no crash as the stream leaves, and as one
    # just after, when other engines have been heard: the stream is cut.
    def test_stream_that_leaves_goes_on(self):
        def make_fleet():
            pauses = {"i-1": [(0.1, 1.4)], "i-2": [(0.6, 2.6)]}
            fleet = SilentFleet({**pauses, "i-3": []}, DOMAINS)
            heard_beside_second = []

            def has_activity_later(announcement, since_ms):
                if announcement.target != "i-2":
                    return True
                heard_beside_second.append(announcement)
                return len(heard_beside_second) > 1

            fleet.context.targets.has_activity = has_activity_later
            return fleet

        fleet, writer = relay(make_fleet)
        assert fleet.is_complete(writer)
        assert fleet.tried == ["i-1", "i-2", "i-3"]


class UnnumberedFleet(SilentFleet):
    """Engines whose events have no ids, so that no stream can resume."""

    async def _behave(self, attempt):
        async for step in super()._behave(attempt):
            yield step if step == 200 else b"data: x\n\n"


class TestEventsWithoutIds:
    # Guards against a stream that leaves a silent engine, though no other one can tell
    # where it is to go on, and is cut.
    def test_stream_stays_at_its_silent_engine(self):
        pauses = {"i-1": [(0.9, 2.4)], "i-2": []}
        fleet, writer = relay(lambda: UnnumberedFleet(pauses, DOMAINS))
        assert writer.is_complete
        assert writer.body == b"data: x\n\n" * fleet.n_events
        assert fleet.tried == ["i-1"]


class FullFleet(SilentFleet):
    """Engines of which all but the first take no requests for a time.

    Parameters
    ----------
    n_others : int
    full_s : float
        Time until which they take none, in seconds from the creation.
    is_reached : bool
        Whether they respond that they are full, or cannot be reached.
    silence : tuple of (float, float)
        Start and end of the silence of the first engine.
    """

    def __init__(self, n_others, full_s, is_reached, silence=(0.9, 2.4)):
        others = [f"i-{number}" for number in range(2, n_others + 2)]
        super().__init__(
            {"i-1": [silence], **{other: [] for other in others}},
            dict.fromkeys(others, "fd2"),
        )
        self._full_until_s = anyio.current_time() + full_s
        self._is_reached = is_reached

    async def _behave(self, attempt):
        is_first = attempt.target.target == "i-1"
        if not is_first and anyio.current_time() < self._full_until_s:
            if not self._is_reached:
                raise AlmonddealError(NOT_REACHED, "no connection")
            yield ResponseHead(503, is_not_run=True)
            return
        async for step in super()._behave(attempt):
            yield step


def without_retries_for(fleet, duration_s):
    """Have the retry budget used up after the first retry, for a time."""
    retries_from_s = anyio.current_time() + duration_s
    n_taken = 0

    def take_retry(service_name):
        nonlocal n_taken
        n_taken += 1
        return n_taken == 1 or anyio.current_time() >= retries_from_s

    fleet.context.take_retry = take_retry
    return fleet


class TestRefusalsBehindASilence:
    """A stream leaves a silent engine for others that turn out to be full."""

    # Guards against a stream that is cut long before its deadline, after it left a
    # sound engine.
    @pytest.mark.parametrize("is_reached", [True, False])
    @pytest.mark.parametrize("n_others", [1, 3, 14])
    @pytest.mark.parametrize("full_s", [2.0, 6.0])
    def test_stream_goes_on_at_last(self, n_others, full_s, is_reached):
        fleet, writer = relay(lambda: FullFleet(n_others, full_s, is_reached))
        assert fleet.is_complete(writer)
        assert fleet.tried[0] == "i-1"

    # Guards against the same as the retries are used up for a time.
    @pytest.mark.parametrize("no_retries_s", [2.0, 6.0])
    def test_stream_waits_for_the_retry_budget(self, no_retries_s):
        fleet, writer = relay(
            lambda: without_retries_for(
                FullFleet(2, 1.5, is_reached=True), no_retries_s
            )
        )
        assert fleet.is_complete(writer)

    # Guards against a stream that asks engines over and over while they are full.
    @pytest.mark.parametrize("is_reached", [True, False])
    def test_engines_are_asked_at_intervals(self, is_reached):
        full_s = 10.0
        fleet, writer = relay(lambda: FullFleet(14, full_s, is_reached))
        assert fleet.is_complete(writer)
        max_at_intervals = full_s * 1000 / REFUSAL_BACKOFF_MS
        assert len(fleet.tried) <= MAX_ATTEMPTS + max_at_intervals


class TestRefusalsBeforeTheFirstEvent:
    """A stream without an event leaves a silent engine for others that are full."""

    # Guards against a stream that gets 502 long before its deadline, after it left a
    # sound engine.
    @pytest.mark.parametrize("is_reached", [True, False])
    @pytest.mark.parametrize("n_others", [1, 3, 14])
    @pytest.mark.parametrize("full_s", [2.0, 6.0])
    def test_stream_begins_at_last(self, n_others, full_s, is_reached):
        fleet, writer = relay(
            lambda: FullFleet(n_others, full_s, is_reached, BEFORE_THE_FIRST_EVENT)
        )
        assert fleet.is_complete(writer)
        assert fleet.tried[:2] == ["i-1", "i-2"]

    # Guards against the same as no engine has room, by what this instance knows.
    @pytest.mark.parametrize("room_from_s", [2.0, 6.0, 15.0])
    def test_stream_waits_for_room(self, room_from_s):
        def choose_if_room(engines, *args):
            has_room = anyio.current_time() - started_s >= room_from_s
            return prefer_first(engines) if has_room else None

        def make_fleet():
            nonlocal started_s
            started_s = anyio.current_time()
            fleet = FullFleet(1, 6.0, True, BEFORE_THE_FIRST_EVENT)

            async def refuse_and_be_full(attempt):
                fleet.context.selection_policy.engine = choose_if_room
                fleet.behaviour_by_target["i-2"] = fleet.behaviour_by_target["i-1"]
                yield ResponseHead(503, is_not_run=True)

            fleet.behaviour_by_target["i-2"] = refuse_and_be_full
            return fleet

        started_s = 0.0
        fleet, writer = relay(make_fleet)
        assert fleet.is_complete(writer)

    # Guards against a deadline that is not kept where no engine takes the stream.
    def test_deadline_ends_the_wait(self):
        with pytest.raises(AlmonddealError) as caught:
            relay(lambda: FullFleet(2, DARK_S, True, (0.0, DARK_S)))
        assert caught.value.code == DEADLINE

    # Guards against the same as the retries are used up for a time.
    @pytest.mark.parametrize("no_retries_s", [2.0, 6.0])
    def test_stream_waits_for_the_retry_budget(self, no_retries_s):
        fleet, writer = relay(
            lambda: without_retries_for(
                FullFleet(2, 1.5, True, BEFORE_THE_FIRST_EVENT), no_retries_s
            )
        )
        assert fleet.is_complete(writer)


class TestPausesBehindASilence:
    """A stream leaves a silent engine for others that ask for a long pause."""

    # Guards against a stream that is ended as all others hold off until its deadline,
    # though the engine that it left does not.
    @pytest.mark.parametrize("n_others", [1, 3])
    @pytest.mark.parametrize("silence", [BEFORE_THE_FIRST_EVENT, (0.9, 2.4)])
    def test_stream_returns_to_its_engine(self, silence, n_others):
        async def asks_for_a_pause(attempt):
            yield ResponseHead(503, is_not_run=True, retry_after_ms=2 * TIMEOUT_MS)

        def make_fleet():
            fleet = FullFleet(n_others, 0.0, True, silence)
            others = [t for t in fleet.behaviour_by_target if t != "i-1"]
            fleet.behaviour_by_target.update(dict.fromkeys(others, asks_for_a_pause))
            return fleet

        fleet, writer = relay(make_fleet)
        assert fleet.is_complete(writer)
        assert fleet.tried[0] == fleet.tried[-1] == "i-1"


class QuietStartFleet(SilentFleet):
    """Engine 1 falls silent for good, and engine 2 as it sends its first event.

    A silent engine does not respond to the question for its start time.
    """

    def __init__(self, silence_s):
        self._silence_s = silence_s
        pauses_by_target = {"i-1": [(0.9, DARK_S)], "i-2": []}
        super().__init__(pauses_by_target, DOMAINS)
        self._second_pauses = pauses_by_target["i-2"]
        self.context.read_start_ms = self._read_start_ms

    async def _behave(self, attempt):
        is_second = attempt.target.target == "i-2"
        async for step in super()._behave(attempt):
            if is_second and step != 200 and not self._second_pauses:
                start_s = anyio.current_time() - self._started_s
                self._second_pauses.append((start_s, start_s + self._silence_s))
            yield step

    async def _read_start_ms(self, announcement):
        if not await self._probe(announcement):
            raise AlmonddealError(NOT_REACHED, "no response")
        return announcement.born_ms


class TestSilenceAfterTheFirstEvent:
    """An engine at which a stream resumes falls silent after its first event."""

    # Guards against an engine that counts as lost as it does not tell its start time.
    @pytest.mark.parametrize("silence_s", [1.2, 1.9, 3.0])
    def test_stream_goes_on_there(self, silence_s):
        fleet, writer = relay(lambda: QuietStartFleet(silence_s), max_attempts=2)
        assert fleet.is_complete(writer)
        assert fleet.tried == ["i-1", "i-2"]
