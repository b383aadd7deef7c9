"""Which answers begin, which ones wait for an engine, and which are refused.

An answer waits only while it can still begin within its objective, or briefly when
that has passed. Otherwise it is refused at once and told when an engine will probably
have room. Nothing here sends or receives.
"""

from almonddeal.relay.choose import MEMORY_SHARE
from almonddeal_common.clock import monotonic_ms

ON_TIME_SHARE = 0.75  # of the objective that a forecast may fill; it errs by a quarter
LATE_READING_RATIO = 1.25  # of its own prompt, that a late one may wait to be read
LATE_WAIT_MS = 3000.0  # for answers that are late anyway, as long as others wait
LEAST_RETRY_MS = 250.0  # in which a few engines read a prompt to its end
MOST_RETRY_MS = 10_000.0  # a longer forecast says nothing


class Demand:
    """What an answer needs of an engine, at one moment.

    Parameters
    ----------
    n_prompt_tokens : int
    n_tokens : int
        Tokens of the prompt and the longest output.
    objective_left_ms : float
        Time left in which its first event is on time; negative if it is late.
    left_ms : float
        Time left for the whole answer.
    was_sent : bool
        Whether an engine lost it, so that it cannot be refused any more.
    """

    __slots__ = (
        "left_ms",
        "n_prompt_tokens",
        "n_tokens",
        "objective_left_ms",
        "was_sent",
    )

    def __init__(
        self, n_prompt_tokens, n_tokens, objective_left_ms, left_ms, was_sent=False
    ):
        self.was_sent = was_sent
        self.n_prompt_tokens = n_prompt_tokens
        self.n_tokens = n_tokens
        self.objective_left_ms = objective_left_ms
        self.left_ms = left_ms


def first_event_ms(load_view, announcement, n_prompt_tokens):
    """Return how long an engine would take from now to an answer's first event, in ms.

    Parameters
    ----------
    load_view : LoadView
    announcement : AnnouncedTarget
    n_prompt_tokens : int
    """
    n_tokens = load_view.load(announcement).n_unread_tokens + n_prompt_tokens
    return n_tokens * load_view.reading_ms_per_token(announcement)


def possible_engines(states, load_view, demand):
    """Return the engines at which an answer may begin now, as a list.

    Those that begin it on time; for one that is late anyway, those that read little for
    others. One that an engine lost may begin anywhere.

    Parameters
    ----------
    states : list of TrackedTarget
    load_view : LoadView
    demand : Demand
    """
    limit_ms = _first_event_limit_ms(load_view, demand)
    possible = [
        state
        for state in states
        if first_event_ms(load_view, state.announcement, demand.n_prompt_tokens)
        <= limit_ms
    ]
    return states if demand.was_sent and not possible else possible


def _first_event_limit_ms(load_view, demand):
    """Return in how long an engine should send the first event, in ms."""
    own_ms = demand.n_prompt_tokens * load_view.usual_ms_per_token
    return max(ON_TIME_SHARE * demand.objective_left_ms, LATE_READING_RATIO * own_ms)


def expected_wait_ms(states, load_view, demand, traits, n_ahead):
    """Return how long an answer will probably wait for an engine, in ms.

    Parameters
    ----------
    states : list of TrackedTarget
    load_view : LoadView
    demand : Demand
    traits : EngineTraits
    n_ahead : int
        Answers that wait and come before this one.

    Returns
    -------
    wait_ms : float
        Infinite if there is no engine.
    """
    if not states:
        return float("inf")
    room = MEMORY_SHARE * traits.n_cache_tokens
    times_ms = sorted(
        time_ms
        for state in states
        for time_ms in _places_in_ms(state, load_view, demand, room)
    )
    n_rounds, place = divmod(n_ahead, len(times_ms))
    return times_ms[place] + n_rounds * load_view.run_ms


def _places_in_ms(state, load_view, demand, room):
    """Return in how long each place of an engine can take an answer, as a list, in ms.

    A place is free memory, or that of a run, which will end.
    """
    load = load_view.load(state.announcement)
    first_ms = first_event_ms(load_view, state.announcement, demand.n_prompt_tokens)
    reading_ms = max(0.0, first_ms - _first_event_limit_ms(load_view, demand))
    n_free = int((room - load.n_used_tokens) // max(1, demand.n_tokens))
    n_free = max(0, min(n_free, state.announcement.n_slots - load.n_runs))
    now_ms = monotonic_ms()
    own_ms = demand.n_prompt_tokens * load_view.reading_ms_per_token(state.announcement)
    free = [reading_ms + number * own_ms for number in range(n_free)]
    taken = [
        max(reading_ms, load_view.run_ms - (now_ms - begun_ms))
        for begun_ms in load.begun_ms_by_request.values()
    ]
    return free + taken or [reading_ms]


def longest_wait_ms(load_view, demand):
    """Return how long an answer may wait from now, in ms.

    As long as it could then still begin on time at an engine that reads nothing else;
    a late one for a short time, if enough is left to run it; one that an engine lost as
    long as enough is left.
    """
    reading_ms = demand.n_prompt_tokens * load_view.usual_ms_per_token
    on_time_ms = ON_TIME_SHARE * demand.objective_left_ms - reading_ms
    if demand.was_sent:
        return max(on_time_ms, demand.left_ms - load_view.run_ms, 0.0)
    if on_time_ms > 0:
        return on_time_ms
    return min(LATE_WAIT_MS, max(0.0, demand.left_ms - load_view.run_ms))


class RetrySchedule:
    """When refused callers were told to come back, so that they do not come at once."""

    __slots__ = ("_promised_ms",)

    def __init__(self):
        self._promised_ms = 0.0

    def retry_after_ms(self, wait_ms, spacing_ms):
        """Return in how long the next refused caller should come back, in ms.

        Parameters
        ----------
        wait_ms : float
            When there will probably be room, from now.
        spacing_ms : float
            Time in which the fleet takes in one answer for each instance.
        """
        now_ms = monotonic_ms()
        wait_ms = min(MOST_RETRY_MS, max(LEAST_RETRY_MS, wait_ms))
        self._promised_ms = max(now_ms + wait_ms, self._promised_ms + spacing_ms)
        self._promised_ms = min(self._promised_ms, now_ms + MOST_RETRY_MS)
        return round(self._promised_ms - now_ms)


def spacing_ms(states, load_view, demand, traits):
    """Return the time in ms in which each instance can have one answer begun.

    Parameters
    ----------
    states : list of TrackedTarget
    load_view : LoadView
    demand : Demand
    traits : EngineTraits
    """
    n_engines = max(1, len(states))
    reading_ms = demand.n_prompt_tokens * load_view.usual_ms_per_token / n_engines
    room = MEMORY_SHARE * traits.n_cache_tokens * n_engines
    memory_ms = load_view.run_ms * demand.n_tokens / room
    return max(reading_ms, memory_ms) * max(1, load_view.n_instances)
