"""Choice of a target: plain services by expected time, engines by work and memory."""

from almonddeal.relay.targets import PRIOR_LATENCY_MS
from almonddeal_common.clock import monotonic_ms

FAILURE_COST_MS = 400.0  # time that a failed lookup loses, most of its deadline
OTHER_DOMAIN_COST_MS = 4.0  # a round trip between failure domains, and its bytes
RUN_COST_MS = 60.0  # what one more run slows an engine's tokens over an answer
OTHER_DOMAIN_ENGINE_COST_MS = 80.0  # bytes of a prompt and its answer
MEMORY_SHARE = 1.0  # runs are counted at their longest, which few reach at once
BACKUP_MEMORY_SHARE = 0.75  # above it memory goes to answers, not to copies of others
SEEN_WEIGHT = 0.5  # of latencies that are compared with each other
LOAD_AGE_LIMIT_MS = 500.0  # older reports of load say nothing
JITTER_MS = 25.0  # keeps instances that know the same from choosing the same


def choose_plain(states, domain, random_value):
    """Return the target with the least expected time for a short request, or None.

    Parameters
    ----------
    states : list of TrackedTarget
    domain : str
        Failure domain of this instance.
    random_value : callable
        Returns a number from 0 to 1.
    """
    now_ms = monotonic_ms()
    seen = [s.latency_ms for s in states if s.latency_weight(now_ms) > SEEN_WEIGHT]
    # A target that nothing is known of is thought to be as good as the best one.
    prior_ms = min(seen, default=PRIOR_LATENCY_MS)

    def cost_ms(state):
        latency_ms = state.expected_latency_ms(now_ms, prior_ms)
        n_slots = max(1, state.announcement.n_slots)
        busy = n_busy(state, now_ms) / n_slots
        failures = state.failure_rate(now_ms) * FAILURE_COST_MS
        distance = OTHER_DOMAIN_COST_MS * (state.announcement.failure_domain != domain)
        wait_ms = latency_ms * (1 + busy + max(0.0, busy - 0.8) * 4)
        return wait_ms + failures + distance + random_value()

    return min(states, key=cost_ms, default=None)


def n_busy(state, now_ms):
    """Return how many requests a target is thought to work on."""
    reported = 0
    if state.load is not None and now_ms - state.load_ms < LOAD_AGE_LIMIT_MS:
        reported = state.load[0] + state.load[1]
    return max(state.n_in_flight, reported)


def choose_engine(
    states,
    load_view,
    n_tokens,
    traits,
    domain,
    random_value,
    memory_share=MEMORY_SHARE,
):
    """Return the engine that will begin and finish an answer soonest, or None.

    Parameters
    ----------
    states : list of TrackedTarget
    load_view : LoadView
    n_tokens : int
        Tokens of the prompt and the longest output.
    traits : EngineTraits
    domain : str
    random_value : callable
    memory_share : float
        Of an engine's memory that may be used.

    Returns
    -------
    state : TrackedTarget or None
        None if no engine has room.
    """
    room = memory_share * traits.n_cache_tokens

    def has_capacity(state):
        load = load_view.load(state.announcement)
        return (
            load.n_used_tokens + n_tokens <= room
            and load.n_runs < state.announcement.n_slots
        )

    def cost_ms(state):
        load = load_view.load(state.announcement)
        distance = state.announcement.failure_domain != domain
        # The output counts like a prompt: what reads slowly generates slowly, too.
        return (
            (load.n_unread_tokens + n_tokens)
            * load_view.reading_ms_per_token(state.announcement)
            + load.n_runs * RUN_COST_MS
            + load.n_copy_tokens / traits.n_cache_tokens * RUN_COST_MS
            + OTHER_DOMAIN_ENGINE_COST_MS * distance
            + JITTER_MS * random_value()
        )

    return min(filter(has_capacity, states), key=cost_ms, default=None)


def choose_backup(states, target, load_view, n_tokens, traits, random_value):
    """Return an engine of another failure domain for the copy of a run, or None."""
    elsewhere = [
        state
        for state in states
        if state.announcement.failure_domain != target.failure_domain
        and state.announcement.target != target.target
    ]
    return choose_engine(
        elsewhere, load_view, n_tokens, traits, "", random_value, BACKUP_MEMORY_SHARE
    )


class SelectionPolicy:
    """The decisions on where work goes, as functions.

    Parameters
    ----------
    plain : callable
        Like `choose_plain`.
    engine : callable
        Like `choose_engine`.
    backup : callable
        Like `choose_backup`.
    """

    __slots__ = ("backup", "engine", "plain")

    def __init__(self, plain=choose_plain, engine=choose_engine, backup=choose_backup):
        self.plain = plain
        self.engine = engine
        self.backup = backup
