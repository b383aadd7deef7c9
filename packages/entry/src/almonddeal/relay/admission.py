"""Admission control of streamed requests: start now, wait, or reject.

A request waits only while it can still meet its latency objective, or briefly once the
objective is missed. Otherwise it is rejected at once with a Retry-After time at which
an engine is expected to have capacity. A request that resumes a stream waits as long as
its caller does. This module performs no I/O.
"""

from almonddeal.relay.choose import KV_CACHE_SHARE
from almonddeal_common.clock import monotonic_ms

ON_TIME_SHARE = 0.75  # of the objective; forecasts of the first event err by a quarter
# A late request starts where its first event takes at most this many times its prefill.
LATE_PREFILL_RATIO = 1.25
RESUMED_WAIT_SHARE = 0.5  # of the time that is left to a caller that resumes a stream
MAX_LATE_WAIT_MS = 3000.0  # of late requests; about as long as those on time may wait
MIN_RETRY_MS = 250.0  # in which a few engines finish a prefill
MAX_RETRY_MS = 10_000.0  # longer forecasts are not reliable


class Demand:
    """What a request needs of an engine, at one moment.

    Parameters
    ----------
    n_prompt_tokens : int
    n_tokens : int
        KV-cache tokens of the prompt and the longest output.
    objective_left_ms : float
        Time left until the first event is late; negative if it is late already.
    left_ms : float
        Time left until the deadline of the request.
    may_have_run : bool
        Whether an engine may have executed the request, so that it can no longer be
        rejected as not executed.
    resumes : bool
        Whether the caller has received a part of the response.
    """

    __slots__ = (
        "left_ms",
        "may_have_run",
        "n_prompt_tokens",
        "n_tokens",
        "objective_left_ms",
        "resumes",
    )

    def __init__(
        self,
        n_prompt_tokens,
        n_tokens,
        objective_left_ms,
        left_ms,
        may_have_run=False,
        resumes=False,
    ):
        self.may_have_run = may_have_run
        self.resumes = resumes
        self.n_prompt_tokens = n_prompt_tokens
        self.n_tokens = n_tokens
        self.objective_left_ms = objective_left_ms
        self.left_ms = left_ms


def expected_first_event_ms(load_view, announcement, n_prompt_tokens):
    """Return in how many ms an engine would send the first event of a new request.

    Parameters
    ----------
    load_view : LoadView
    announcement : AnnouncedTarget
        The engine.
    n_prompt_tokens : int
    """
    n_prefill_tokens = load_view.load(announcement).n_unread_tokens + n_prompt_tokens
    return n_prefill_tokens * load_view.prefill_ms_per_token(announcement)


def admissible_engines(engines, load_view, demand):
    """Return the engines at which a request may start now, as a list.

    These are the engines that would send the first event on time, or, for a late
    request, those with few other prompt tokens to prefill. If there are none, a request
    that may have run before, or that resumes a stream, may start at any engine.

    Parameters
    ----------
    engines : list of TrackedTarget
    load_view : LoadView
    demand : Demand
    """
    max_first_event_ms = _max_first_event_ms(load_view, demand)
    admissible = [
        engine
        for engine in engines
        if expected_first_event_ms(
            load_view, engine.announcement, demand.n_prompt_tokens
        )
        <= max_first_event_ms
    ]
    if admissible:
        return admissible
    return engines if demand.may_have_run or demand.resumes else []


def _max_first_event_ms(load_view, demand):
    """Return the time in ms within which an engine must send the first event."""
    prefill_ms = demand.n_prompt_tokens * load_view.typical_prefill_ms_per_token
    return max(
        ON_TIME_SHARE * demand.objective_left_ms, LATE_PREFILL_RATIO * prefill_ms
    )


def expected_wait_ms(engines, load_view, demand, traits, n_ahead):
    """Return how long a request is expected to wait for an engine, in ms.

    Parameters
    ----------
    engines : list of TrackedTarget
    load_view : LoadView
    demand : Demand
    traits : EngineTraits
    n_ahead : int
        Waiting requests that are before this one in the queue.

    Returns
    -------
    wait_ms : float
        Infinite if there is no engine.
    """
    if not engines:
        return float("inf")
    n_usable_tokens = KV_CACHE_SHARE * traits.n_cache_tokens
    delays_ms = sorted(
        delay_ms
        for engine in engines
        for delay_ms in _start_delays_ms(engine, load_view, demand, n_usable_tokens)
    )
    n_rounds, index = divmod(n_ahead, len(delays_ms))
    return delays_ms[index] + n_rounds * load_view.mean_run_ms


def _start_delays_ms(engine, load_view, demand, n_usable_tokens):
    """Return the times after which an engine could start one more request, in ms.

    The list has a time for each request that fits into the free KV cache, and the time
    until each run ends.
    """
    load = load_view.load(engine.announcement)
    first_ms = expected_first_event_ms(
        load_view, engine.announcement, demand.n_prompt_tokens
    )
    excess_ms = max(0.0, first_ms - _max_first_event_ms(load_view, demand))
    n_free = int((n_usable_tokens - load.n_reserved_tokens) // max(1, demand.n_tokens))
    n_free = max(0, min(n_free, engine.announcement.n_slots - load.n_runs))
    now_ms = monotonic_ms()
    prefill_ms = demand.n_prompt_tokens * load_view.prefill_ms_per_token(
        engine.announcement
    )
    free = [excess_ms + number * prefill_ms for number in range(n_free)]
    in_use = [
        max(excess_ms, load_view.mean_run_ms - (now_ms - started_ms))
        for started_ms in load.started_ms_by_request.values()
    ]
    return free + in_use or [excess_ms]


def _prefill_ms(load_view, demand):
    return demand.n_prompt_tokens * load_view.typical_prefill_ms_per_token


def on_time_wait_ms(load_view, demand):
    """Return in how many ms at the latest a request has to start to be on time."""
    return ON_TIME_SHARE * demand.objective_left_ms - _prefill_ms(load_view, demand)


def max_wait_ms(load_view, demand):
    """Return how long a request may wait from now, in ms.

    It may wait as long as an idle engine could still send the first event on time. A
    late request waits a short time, if enough time is left for a run. A request that
    may have run before waits as long as enough time is left. One that resumes a stream
    waits for a share of the time left, after which its caller has time to come back.
    """
    on_time_ms = on_time_wait_ms(load_view, demand)
    if demand.resumes:
        wait_ms = max(on_time_ms, RESUMED_WAIT_SHARE * demand.left_ms)
        return max(0.0, min(wait_ms, demand.left_ms - _prefill_ms(load_view, demand)))
    if demand.may_have_run:
        return max(on_time_ms, demand.left_ms - load_view.mean_run_ms, 0.0)
    if on_time_ms > 0:
        return on_time_ms
    return min(MAX_LATE_WAIT_MS, max(0.0, demand.left_ms - load_view.mean_run_ms))


def bounded_retry_ms(wait_ms):
    """Return the Retry-After time in ms for an expected wait in ms."""
    return min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms))


class RetrySchedule:
    """Spaces the Retry-After times of rejected requests, so that none coincide."""

    __slots__ = ("_last_retry_ms",)

    def __init__(self):
        self._last_retry_ms = 0.0

    def retry_after_ms(self, wait_ms, spacing_ms):
        """Return the Retry-After time of the next rejected request, in ms.

        Parameters
        ----------
        wait_ms : float
            Expected time until there is capacity.
        spacing_ms : float
            Least time between two retries; see `retry_spacing_ms`.
        """
        now_ms = monotonic_ms()
        wait_ms = bounded_retry_ms(wait_ms)
        self._last_retry_ms = max(now_ms + wait_ms, self._last_retry_ms + spacing_ms)
        self._last_retry_ms = min(self._last_retry_ms, now_ms + MAX_RETRY_MS)
        return round(self._last_retry_ms - now_ms)


def retry_spacing_ms(engines, load_view, demand, traits):
    """Return the time in ms in which the engines start one request per entry instance.

    Parameters
    ----------
    engines : list of TrackedTarget
    load_view : LoadView
    demand : Demand
    traits : EngineTraits
    """
    n_engines = max(1, len(engines))
    prefill_ms = (
        demand.n_prompt_tokens * load_view.typical_prefill_ms_per_token / n_engines
    )
    n_usable_tokens = KV_CACHE_SHARE * traits.n_cache_tokens * n_engines
    kv_cache_ms = load_view.mean_run_ms * demand.n_tokens / max(1.0, n_usable_tokens)
    return max(prefill_ms, kv_cache_ms) * max(1, load_view.n_instances)
