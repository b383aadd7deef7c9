"""The entry side of announced targets: who may be used, and what was seen of each."""

import math

import anyio

from almonddeal.announced.announcement import DEREGISTERED, DRAINING, READY, supersedes
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.logs import decide, get_logger

AVOID_MIN_MS = 400  # first pause after a target could not be reached
AVOID_MAX_MS = 8000
PRIOR_LATENCY_MS = 50.0  # of a target that nothing is known of
EVIDENCE_DECAY_MS = 3000.0  # how fast evidence against a target loses its weight
EVIDENCE_GAIN = 0.25
LOST_AGAIN_WITHIN_MS = 400  # two lost connections within this time are no accident
DOMAIN_LOST_TARGETS = 2  # of a service and domain, after which the others are suspect
DOMAIN_LOST_MS = 1000  # how long they are

log = get_logger("targets")


class TrackedTarget:
    """One target as this instance sees it.

    Attributes
    ----------
    announcement : AnnouncedTarget
    n_in_flight : int
        Requests of this instance that it works on.
    latency_ms : float
        Smoothed time of plain answers.
    avoid_until_ms : float
        Until when it is used only if there is no other.
    scopes : dict of anyio.CancelScope to str
        Requests by the scopes of their attempts, which end when the target is lost.
    last_heard_ms : float
        When bytes of any answer came last.
    since_ms : float
        When its present life became known here.
    suspected : anyio.Event
        Set when there is reason to ask it for a sign of life at once.
    """

    __slots__ = (
        "_failure_rate",
        "_lost_ms",
        "_n_lost",
        "_rated_ms",
        "avoid_until_ms",
        "last_heard_ms",
        "latency_ms",
        "load",
        "load_ms",
        "n_in_flight",
        "announcement",
        "scopes",
        "since_ms",
        "suspected",
    )

    def __init__(self, announcement):
        self.announcement = announcement
        self.scopes = {}
        self.suspected = anyio.Event()
        self.n_in_flight = 0
        self.last_heard_ms = 0.0
        self.reset()

    def __repr__(self):
        return (
            f"<TargetState {self.announcement.target} at {self.announcement.address}>"
        )

    def reset(self):
        """Forget evidence, for a target that started anew."""
        self.since_ms = monotonic_ms()
        self.latency_ms = PRIOR_LATENCY_MS
        self.avoid_until_ms = 0.0
        self.load = None
        self.load_ms = 0.0
        self._failure_rate = 0.0
        self._rated_ms = float("-inf")
        self._n_lost = 0
        self._lost_ms = 0.0

    def failure_rate(self, now_ms):
        """Return the smoothed share of failures; it fades when nothing is seen."""
        age_ms = now_ms - self._rated_ms
        return self._failure_rate * math.exp(-age_ms / EVIDENCE_DECAY_MS)

    def latency_weight(self, now_ms):
        """Return how much the smoothed latency still counts, from 0 to 1."""
        return math.exp(-(now_ms - self._rated_ms) / EVIDENCE_DECAY_MS)

    def expected_latency_ms(self, now_ms, prior_ms):
        """Return the smoothed latency; it fades towards the one that others have."""
        weight = self.latency_weight(now_ms)
        return weight * self.latency_ms + (1 - weight) * prior_ms

    def rate(self, is_failure, latency_ms):
        """Note the outcome of one request."""
        now_ms = monotonic_ms()
        failures = self.failure_rate(now_ms)
        self.latency_ms = self.expected_latency_ms(now_ms, latency_ms)
        self.latency_ms += EVIDENCE_GAIN * (latency_ms - self.latency_ms)
        self._failure_rate = failures + EVIDENCE_GAIN * (int(is_failure) - failures)
        self._rated_ms = now_ms
        if not is_failure:
            self._n_lost = 0

    def hear(self):
        """Note that bytes came."""
        self.last_heard_ms = monotonic_ms()

    def pause(self, now_ms):
        """Set the target aside, longer each time in a row; returns the pause in ms."""
        pause_ms = min(AVOID_MAX_MS, AVOID_MIN_MS * 2**self._n_lost)
        self._n_lost = min(self._n_lost + 1, 8)
        self.avoid_until_ms = now_ms + pause_ms
        return pause_ms

    def is_lost_again(self, now_ms):
        """Note a broken connection; tells whether another one broke just before."""
        is_again = now_ms - self._lost_ms < LOST_AGAIN_WITHIN_MS
        self._lost_ms = now_ms
        return is_again

    def suspect(self):
        """Have its attempts ask it for a sign of life."""
        self.suspected.set()
        self.suspected = anyio.Event()

    def end_attempts(self):
        """Cancel the attempts of this instance at the target."""
        for scope in list(self.scopes):
            scope.cancel()


class TargetTable:
    """Targets by id, merged from what control instances say."""

    def __init__(self):
        self.target_by_id = {}
        self._target_by_address = {}
        self._lost_by_domain = {}

    def merge(self, announcement):
        """Merge a record; returns whether it was news."""
        state = self.target_by_id.get(announcement.target)
        if not supersedes(announcement, None if state is None else state.announcement):
            return False
        if state is None:
            state = self.target_by_id[announcement.target] = TrackedTarget(announcement)
        else:
            if announcement.born_ms != state.announcement.born_ms:
                state.reset()
            state.announcement = announcement
        self._claim_address(announcement)
        decide(
            log,
            "learns of a target",
            target=announcement.target,
            state=announcement.state,
            born_ms=announcement.born_ms,
            address=announcement.address,
        )
        return True

    def _claim_address(self, announcement):
        holder = self.target_by_id.get(
            self._target_by_address.get(announcement.address)
        )
        if holder is None or holder.announcement.born_ms <= announcement.born_ms:
            self._target_by_address[announcement.address] = announcement.target

    def get(self, target):
        """Return the state of a target, or None."""
        return self.target_by_id.get(target)

    def is_reachable(self, state):
        """Tell whether a target is there, also one that takes nothing new."""
        announcement = state.announcement
        if announcement.state == DEREGISTERED:
            return False
        return self._target_by_address.get(announcement.address) == announcement.target

    def is_usable(self, state):
        """Tell whether new work may go to a target at all."""
        return self.is_reachable(state) and state.announcement.state != DRAINING

    def candidates(self, service_name, excluded=()):
        """Return the states of targets for new work of a service, as a list.

        Those that are set aside or silent come only if there is no other.
        """
        now_ms = monotonic_ms()
        usable = [
            state
            for state in self.target_by_id.values()
            if state.announcement.service_name == service_name
            and self.is_usable(state)
            and state.announcement.target not in excluded
        ]
        good = [
            state
            for state in usable
            if state.announcement.state == READY and state.avoid_until_ms <= now_ms
        ]
        sound = [state for state in good if not self._is_domain_lost(state, now_ms)]
        return sound or good or usable

    # ---- evidence --------------------------------------------------------------

    def avoid(self, state, reason, request_id):
        """Use a target only if there is no other, for a while."""
        now_ms = monotonic_ms()
        if now_ms < state.avoid_until_ms:
            return
        pause_ms = state.pause(now_ms)
        self._note_lost(state, now_ms)
        decide(
            log,
            "sets a target aside",
            target=state.announcement.target,
            reason=reason,
            request=request_id,
            pause_ms=round(pause_ms),
        )

    def lose_connection(self, state, request_id):
        """Note a broken connection; a second one soon after sets the target aside."""
        if state.is_lost_again(monotonic_ms()):
            self.avoid(state, "connections broke", request_id)

    def _note_lost(self, state, now_ms):
        key = (state.announcement.service_name, state.announcement.failure_domain)
        lost = self._lost_by_domain.setdefault(key, {})
        lost[state.announcement.target] = now_ms
        for target, lost_ms in list(lost.items()):
            if now_ms - lost_ms > DOMAIN_LOST_MS:
                del lost[target]
        if len(lost) >= DOMAIN_LOST_TARGETS:
            self._suspect_domain(*key)

    def _suspect_domain(self, service_name, failure_domain):
        for state in self.target_by_id.values():
            announcement = state.announcement
            if (announcement.service_name, announcement.failure_domain) == (
                service_name,
                failure_domain,
            ):
                state.suspect()

    def suspect(self, target, born_ms):
        """Note that another instance left a target midway."""
        state = self.target_by_id.get(target)
        if state is not None and state.announcement.born_ms == born_ms:
            state.suspect()

    def _is_domain_lost(self, state, now_ms):
        """Tell whether other targets of the domain were lost just now.

        One that started since then is not meant.
        """
        key = (state.announcement.service_name, state.announcement.failure_domain)
        lost = self._lost_by_domain.get(key, {})
        recent = [ms for ms in lost.values() if now_ms - ms <= DOMAIN_LOST_MS]
        if len(recent) < DOMAIN_LOST_TARGETS:
            return False
        return state.since_ms < min(recent)
