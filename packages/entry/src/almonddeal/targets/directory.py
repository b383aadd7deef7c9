"""Directory of the announced targets with their load and health."""

from contextlib import contextmanager

from almonddeal.rollout.fence import fence_of_term
from almonddeal.rollout.planner import observe_engine, role_change_target
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.wire.gen.ttypes import AnnounceReply

LIVENESS_TIMEOUT_MS = 2500
RETENTION_MS = 10 * 60 * 1000
MIN_BACKOFF_MS = 300
MAX_BACKOFF_MS = 10_000
DISTANT_PAST_MS = -1e12
MAX_OCCUPANCY = 1.25


class Target:
    """A target as known to this entry instance.

    As a context manager, it counts one request in flight.

    Attributes
    ----------
    state : TargetState
        Latest announcement.
    received_ms : float
        Time of its receipt on the monotonic clock.
    incarnation_since_ms : float
        Time at which the agent's current incarnation was first seen.
    n_in_flight_here : int
        Requests that this instance has in flight at the target.
    n_sent_since_update : int
        Requests that this instance has sent since the latest announcement.
    """

    __slots__ = (
        "_backoff_ms",
        "_backoff_until_ms",
        "received_ms",
        "incarnation_since_ms",
        "n_in_flight_here",
        "n_sent_since_update",
        "state",
    )

    def __init__(self, state):
        self.state = state
        self.received_ms = monotonic_ms()
        self.incarnation_since_ms = self.received_ms
        self.n_in_flight_here = 0
        self.n_sent_since_update = 0
        self._backoff_ms = 0
        self._backoff_until_ms = DISTANT_PAST_MS

    def __repr__(self):
        return f"<Target {self.name}>"

    @property
    def name(self):
        """Name of the target."""
        return self.state.target

    @property
    def is_live(self):
        """Whether the target announced itself recently and is not stopping."""
        silence_ms = monotonic_ms() - self.received_ms
        return silence_ms < LIVENESS_TIMEOUT_MS and not self.state.stopping

    @property
    def is_in_backoff(self):
        """Whether the target is in backoff after failures."""
        return monotonic_ms() < self._backoff_until_ms

    @property
    def n_in_progress(self):
        """Estimated requests in progress: those announced and those sent since."""
        load = self.state.load
        reported = load.n_running + load.n_waiting + self.n_sent_since_update
        return max(reported, self.n_in_flight_here)

    @property
    def occupancy(self):
        """Estimated requests in progress per slot."""
        return self.n_in_progress / max(1, self.state.load.n_slots)

    @property
    def has_capacity(self):
        """Whether the target can accept one more request."""
        return self.occupancy < MAX_OCCUPANCY

    def serves(self, model, version):
        """Return whether the target has a version of a model loaded."""
        return any(m.model == model and m.version == version for m in self.state.models)

    def may_have_cached(self, key, epoch):
        """Return whether a prefix sent under a cache epoch may still be cached."""
        state = self.state
        if (state.cache_epoch or 0) != (epoch or 0):
            return False
        return key not in (state.evicted_keys or ())

    def update(self, state):
        """Apply an announcement if it is newer than the current one.

        Incarnations are ordered by the wall-clock time of their start. As that clock
        may have been set back, any other incarnation replaces one that has not
        announced itself for `LIVENESS_TIMEOUT_MS`.

        Parameters
        ----------
        state : TargetState

        Returns
        -------
        is_applied : bool
        """
        current = (self.state.incarnation, self.state.sequence)
        is_other_incarnation = state.incarnation != self.state.incarnation
        is_silent = monotonic_ms() - self.received_ms >= LIVENESS_TIMEOUT_MS
        if (state.incarnation, state.sequence) <= current and not (
            is_other_incarnation and is_silent
        ):
            return False
        if is_other_incarnation:
            self.incarnation_since_ms = monotonic_ms()
        self.state = state
        self.received_ms = monotonic_ms()
        self.n_sent_since_update = 0
        return True

    def record_failure(self):
        """Start a backoff that doubles with each consecutive failure."""
        doubled = self._backoff_ms * 2
        self._backoff_ms = min(max(doubled, MIN_BACKOFF_MS), MAX_BACKOFF_MS)
        self._backoff_until_ms = monotonic_ms() + self._backoff_ms

    def record_success(self):
        """End the backoff and reset its duration."""
        self._backoff_ms = 0
        self._backoff_until_ms = DISTANT_PAST_MS

    def __enter__(self):
        self.n_in_flight_here += 1
        self.n_sent_since_update += 1
        return self

    def __exit__(self, *exc_info):
        self.n_in_flight_here -= 1
        assert self.n_in_flight_here >= 0


@contextmanager
def released_on_exit(target):
    """Return a context manager that releases an acquired target on exit."""
    try:
        yield target
    finally:
        target.__exit__(None, None, None)


class TargetDirectory:
    """Targets by name, from agents' announcements and from peers' digests.

    Parameters
    ----------
    document_replica : DocumentReplica
        Provides the document, which names the leaving targets.
    control : ControlClient
        Provides the age of the last confirmation by the control group, and its term.
    on_capacity_change : callable
        Called without arguments when an announcement may have freed capacity.
    """

    def __init__(self, document_replica, control, on_capacity_change):
        self.target_by_name = {}
        self._targets_by_version = {}
        self._versions_by_name = {}
        self._announced_here_ms_by_name = {}
        self._document_replica = document_replica
        self._control = control
        self._on_capacity_change = on_capacity_change

    def candidates(self):
        """Return a list of the targets that may be given new work.

        These are live, not leaving and not the next one to change its role.
        """
        return self._eligible(self.target_by_name.values())

    def serving(self, model, version):
        """Return a list of the candidates that have a version of a model loaded."""
        return self._eligible(
            self._targets_by_version.get((model, version), {}).values()
        )

    def _eligible(self, targets):
        leaving = self._document_replica.document.leaving_targets
        next_target_to_change_role = self.next_target_to_change_role()
        return [
            target
            for target in targets
            if target.is_live
            and target.name not in leaving
            and target.name != next_target_to_change_role
        ]

    def _index(self, target):
        """Update the index of targets by model version."""
        versions = {(m.model, m.version) for m in target.state.models or ()}
        known = self._versions_by_name.get(target.name, set())
        for version in known - versions:
            del self._targets_by_version[version][target.name]
        for version in versions - known:
            self._targets_by_version.setdefault(version, {})[target.name] = target
        self._versions_by_name[target.name] = versions

    def _remove(self, name):
        for version in self._versions_by_name.pop(name, ()):
            del self._targets_by_version[version][name]
        del self.target_by_name[name]
        self._announced_here_ms_by_name.pop(name, None)

    def observed_engines(self):
        """Return the observed state of all engines, as a list of `ObservedEngine`."""
        targets = self.target_by_name.values()
        return [observe_engine(t) for t in targets if t.state.kind == "engine"]

    def next_target_to_change_role(self):
        """Return the name of the engine whose role is to change next, or None."""
        document = self._document_replica.document
        if not document.role_by_target:
            return None
        return role_change_target(document, self.observed_engines())

    def update(self, state):
        """Apply an announcement of an agent, or of a peer's digest."""
        target = self.target_by_name.get(state.target)
        if target is None:
            target = self.target_by_name[state.target] = Target(state)
        elif not target.update(state):
            return
        self._index(target)
        self._on_capacity_change()

    def announced_here(self):
        """Return the states that agents announced directly to this instance."""
        now_ms = monotonic_ms()
        return [
            self.target_by_name[name].state
            for name, received_ms in self._announced_here_ms_by_name.items()
            if now_ms - received_ms < LIVENESS_TIMEOUT_MS
        ]

    async def handle_announce(self, link, message, emit):
        """Handle `Announce`: apply it and reply with the lease of the document."""
        state = message.state
        self.update(state)
        self._announced_here_ms_by_name[state.target] = monotonic_ms()
        document = self._document_replica.document
        is_to_change_role = state.target == self.next_target_to_change_role()
        lease_ms = 0 if document.serves_without_control else document.lease_ms
        return AnnounceReply(
            document.version,
            # Rounded up, so that the lease ends early; negative if never confirmed.
            int(self._control.fresh_age_ms) + (self._control.fresh_age_ms > 0),
            state.target in document.leaving_targets or is_to_change_role,
            lease_ms,
            document.version > 0,
            fence_of_term(self._control.term),
        )

    def evict_stale(self):
        """Evict targets without recent announcements and without requests in flight."""
        now_ms = monotonic_ms()
        for name, target in list(self.target_by_name.items()):
            if (
                now_ms - target.received_ms > RETENTION_MS
                and target.n_in_flight_here == 0
            ):
                self._remove(name)
