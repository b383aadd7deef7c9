"""The targets that announced themselves, and how loaded each one is."""

from contextlib import contextmanager

from almonddeal.rollout.fence import fence_of_term
from almonddeal.rollout.planner import observe_engine, role_change_target
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.wire.gen.ttypes import AnnounceReply

LIVE_MS = 2500
FORGET_MS = 10 * 60 * 1000
AVOID_MIN_MS = 300
AVOID_MAX_MS = 10_000
NEVER_MS = -1e12
MAX_OCCUPANCY = 1.25


class Target:
    """What an entry instance knows of one target.

    Attributes
    ----------
    state : TargetState
        Newest announcement.
    received_ms : float
        When it came, on the monotonic clock.
    incarnation_since_ms : float
        When the agent's present process was first heard of.
    n_in_flight_here : int
        Work of this instance that runs there now.
    """

    __slots__ = (
        "_avoid_ms",
        "_avoid_until_ms",
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
        self._avoid_ms = 0
        self._avoid_until_ms = NEVER_MS

    def __repr__(self):
        return f"<Target {self.name}>"

    @property
    def name(self):
        """Name of the target."""
        return self.state.target

    @property
    def is_live(self):
        """Whether the target was heard of lately and does not stop."""
        silence_ms = monotonic_ms() - self.received_ms
        return silence_ms < LIVE_MS and not self.state.stopping

    @property
    def is_in_backoff(self):
        """Whether it failed lately and is left alone for now."""
        return monotonic_ms() < self._avoid_until_ms

    @property
    def n_predicted(self):
        """Work that is there now: what was reported and what was sent since."""
        load = self.state.load
        reported = load.n_running + load.n_waiting + self.n_sent_since_update
        return max(reported, self.n_in_flight_here)

    @property
    def occupancy(self):
        """Predicted work for each slot."""
        return self.n_predicted / max(1, self.state.load.n_slots)

    @property
    def has_capacity(self):
        """Whether one more piece of work fits."""
        return self.occupancy < MAX_OCCUPANCY

    def serves(self, model, version):
        """Tell whether the target has a version of a model loaded."""
        return any(m.model == model and m.version == version for m in self.state.models)

    def may_have_cached(self, key, epoch):
        """Tell whether a prefix sent under a cache epoch may still be cached."""
        state = self.state
        if (state.cache_epoch or 0) != (epoch or 0):
            return False
        return key not in (state.evicted_keys or ())

    def update(self, state):
        """Take a newer announcement; returns whether it was newer.

        Incarnations are ordered by the time of day at their start. Since that may have
        been set back in between, a silent process gives way to any other one.
        """
        mine = (self.state.incarnation, self.state.sequence)
        is_other = state.incarnation != self.state.incarnation
        is_silent = monotonic_ms() - self.received_ms >= LIVE_MS
        if (state.incarnation, state.sequence) <= mine and not (is_other and is_silent):
            return False
        if is_other:
            self.incarnation_since_ms = monotonic_ms()
        self.state = state
        self.received_ms = monotonic_ms()
        self.n_sent_since_update = 0
        return True

    def record_failure(self):
        """Leave the target alone for a time that doubles with each failure."""
        doubled = self._avoid_ms * 2
        self._avoid_ms = min(max(doubled, AVOID_MIN_MS), AVOID_MAX_MS)
        self._avoid_until_ms = monotonic_ms() + self._avoid_ms

    def record_success(self):
        """Forget earlier failures."""
        self._avoid_ms = 0
        self._avoid_until_ms = NEVER_MS

    def __enter__(self):
        self.n_in_flight_here += 1
        self.n_sent_since_update += 1
        return self

    def __exit__(self, *exc_info):
        self.n_in_flight_here -= 1
        assert self.n_in_flight_here >= 0


@contextmanager
def released_on_exit(target):
    """Leave the context of a target that a dispatcher entered already."""
    try:
        yield target
    finally:
        target.__exit__(None, None, None)


class TargetDirectory:
    """Targets by name, as announced here or told by other entry instances.

    Parameters
    ----------
    replica : DocumentReplica
        The document, which says who is leaving.
    control : ControlClient
        Says how fresh the document is.
    on_news : callable
        Called when an announcement may have freed capacity.
    """

    def __init__(self, replica, control, on_news):
        self.target_by_name = {}
        self._targets_by_version = {}
        self._versions_by_name = {}
        self._heard_here_ms_by_name = {}
        self._replica = replica
        self._control = control
        self._on_news = on_news

    def candidates(self):
        """Return the live targets that are not leaving, as a list."""
        return self._open(self.target_by_name.values())

    def serving(self, model, version):
        """Return the candidates that have a version of a model loaded, as a list."""
        return self._open(self._targets_by_version.get((model, version), {}).values())

    def _open(self, targets):
        leaving = self._replica.document.leaving
        swapping = self.swapping()
        return [
            target
            for target in targets
            if target.is_live and target.name not in leaving and target.name != swapping
        ]

    def _index(self, target):
        """Keep the targets by the versions they have loaded."""
        versions = {(m.model, m.version) for m in target.state.models or ()}
        known = self._versions_by_name.get(target.name, set())
        for version in known - versions:
            del self._targets_by_version[version][target.name]
        for version in versions - known:
            self._targets_by_version.setdefault(version, {})[target.name] = target
        self._versions_by_name[target.name] = versions

    def _forget(self, name):
        for version in self._versions_by_name.pop(name, ()):
            del self._targets_by_version[version][name]
        del self.target_by_name[name]
        self._heard_here_ms_by_name.pop(name, None)

    def engines(self):
        """Return what is observed of all engines, as a list of `ObservedEngine`."""
        targets = self.target_by_name.values()
        return [observe_engine(t) for t in targets if t.state.kind == "engine"]

    def swapping(self):
        """Return the name of the engine whose role changes now, or None."""
        document = self._replica.document
        if not document.role_by_target:
            return None
        return role_change_target(document, self.engines())

    def update(self, state):
        """Take an announcement, from wherever it came."""
        target = self.target_by_name.get(state.target)
        if target is None:
            target = self.target_by_name[state.target] = Target(state)
        elif not target.update(state):
            return
        self._index(target)
        self._on_news()

    def heard_here(self):
        """Return the states that agents announced to this very instance."""
        now_ms = monotonic_ms()
        return [
            self.target_by_name[name].state
            for name, received_ms in self._heard_here_ms_by_name.items()
            if now_ms - received_ms < LIVE_MS
        ]

    async def handle_announce(self, link, message, emit):
        """Take an agent's announcement and give it the lease."""
        state = message.state
        self.update(state)
        self._heard_here_ms_by_name[state.target] = monotonic_ms()
        document = self._replica.document
        is_swapping = state.target == self.swapping()
        lease_ms = 0 if document.serves_without_control else document.lease_ms
        return AnnounceReply(
            document.version,
            int(self._control.fresh_age_ms) + (self._control.fresh_age_ms > 0),
            state.target in document.leaving or is_swapping,
            lease_ms,
            document.version > 0,
            fence_of_term(self._control.term),
        )

    def evict_stale(self):
        """Drop targets that were not heard of for long and run nothing of ours."""
        now_ms = monotonic_ms()
        for name, target in list(self.target_by_name.items()):
            if now_ms - target.received_ms > FORGET_MS and target.n_in_flight_here == 0:
                self._forget(name)
