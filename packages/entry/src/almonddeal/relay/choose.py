"""Target selection: plain services by latency, engines by load and KV cache."""

from almonddeal.relay.tracked_target import PRIOR_LATENCY_MS
from almonddeal_common.clock import monotonic_ms

FAILURE_COST_MS = 400.0  # a failed lookup loses most of its deadline
OTHER_DOMAIN_COST_MS = 4.0  # round trip and transfer between failure domains
RUN_COST_MS = 60.0  # by which one more run delays the response of another
OTHER_DOMAIN_ENGINE_COST_MS = 80.0  # transfer of a prompt and its response
KV_CACHE_SHARE = 1.0  # no reserve: runs count with the longest output, which few reach
BACKUP_KV_CACHE_SHARE = 0.75  # the rest is reserved for the engine's own runs
MIN_LATENCY_WEIGHT = 0.5  # below it a measured latency is too old to compare
MAX_LOAD_AGE_MS = 500.0  # an older load report does not describe the present load
JITTER_MS = 25.0  # keeps instances with the same information from choosing alike


def choose_plain(targets, domain, random_value):
    """Return the target of a plain service with the least expected cost, or None.

    Parameters
    ----------
    targets : list of TrackedTarget
    domain : str
        Failure domain of this instance.
    random_value : callable
        Returns a number from 0 to 1.
    """
    now_ms = monotonic_ms()
    recent = [
        t.latency_ms for t in targets if t.latency_weight(now_ms) > MIN_LATENCY_WEIGHT
    ]
    # A target without measurements is assumed to be as fast as the fastest one.
    prior_ms = min(recent, default=PRIOR_LATENCY_MS)

    def cost_ms(target):
        latency_ms = target.expected_latency_ms(now_ms, prior_ms)
        n_slots = max(1, target.announcement.n_slots)
        utilization = estimated_n_running(target, now_ms) / n_slots
        failure_ms = target.failure_rate(now_ms) * FAILURE_COST_MS
        distance_ms = OTHER_DOMAIN_COST_MS * (
            target.announcement.failure_domain != domain
        )
        loaded_latency_ms = latency_ms * (
            1 + utilization + max(0.0, utilization - 0.8) * 4
        )
        return loaded_latency_ms + failure_ms + distance_ms + random_value()

    return min(targets, key=cost_ms, default=None)


def estimated_n_running(target, now_ms):
    """Return the estimated number of requests at a target, running or queued."""
    reported = 0
    if (
        target.reported_counts is not None
        and now_ms - target.counts_reported_ms < MAX_LOAD_AGE_MS
    ):
        reported = target.reported_counts[0] + target.reported_counts[1]
    return max(target.n_in_flight, reported)


def choose_engine(
    engines,
    load_view,
    n_tokens,
    traits,
    domain,
    random_value,
    kv_cache_share=KV_CACHE_SHARE,
):
    """Return the engine expected to finish a request first, or None.

    Parameters
    ----------
    engines : list of TrackedTarget
    load_view : LoadView
    n_tokens : int
        KV-cache tokens of the prompt and the longest output.
    traits : EngineTraits
    domain : str
        Failure domain of this instance.
    random_value : callable
        Returns a number from 0 to 1.
    kv_cache_share : float
        Share of an engine's KV cache that may be used.

    Returns
    -------
    engine : TrackedTarget or None
        None if no engine has a free slot and enough free KV cache.
    """
    n_usable_tokens = kv_cache_share * traits.n_cache_tokens

    def has_capacity(engine):
        load = load_view.load(engine.announcement)
        return (
            load.n_reserved_tokens + n_tokens <= n_usable_tokens
            and load.n_runs < engine.announcement.n_slots
        )

    def cost_ms(engine):
        load = load_view.load(engine.announcement)
        is_other_domain = engine.announcement.failure_domain != domain
        # Output counts like prompt tokens: slow prefill means slow decoding, too.
        return (
            (load.n_unread_tokens + n_tokens)
            * load_view.prefill_ms_per_token(engine.announcement)
            + load.n_runs * RUN_COST_MS
            + load.n_copy_tokens / max(1, traits.n_cache_tokens) * RUN_COST_MS
            + OTHER_DOMAIN_ENGINE_COST_MS * is_other_domain
            + JITTER_MS * random_value()
        )

    return min(filter(has_capacity, engines), key=cost_ms, default=None)


def choose_backup(engines, primary, load_view, n_tokens, traits, random_value):
    """Return an engine in another failure domain for a KV-cache copy, or None.

    Parameters
    ----------
    engines : list of TrackedTarget
    primary : AnnouncedTarget
        The engine of the run.
    load_view : LoadView
    n_tokens : int
        KV-cache tokens of the prompt and the longest output.
    traits : EngineTraits
    random_value : callable
        Returns a number from 0 to 1.
    """
    elsewhere = [
        engine
        for engine in engines
        if engine.announcement.failure_domain != primary.failure_domain
        and engine.announcement.target != primary.target
    ]
    return choose_engine(
        elsewhere, load_view, n_tokens, traits, "", random_value, BACKUP_KV_CACHE_SHARE
    )


class SelectionPolicy:
    """Functions that select targets; replaceable for experiments.

    Parameters
    ----------
    plain : callable
        Signature of `choose_plain`.
    engine : callable
        Signature of `choose_engine`.
    backup : callable
        Signature of `choose_backup`.
    """

    __slots__ = ("backup", "engine", "plain")

    def __init__(self, plain=choose_plain, engine=choose_engine, backup=choose_backup):
        self.plain = plain
        self.engine = engine
        self.backup = backup
