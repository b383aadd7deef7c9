"""Decides whether a stopping instance stays ready, as no other one is.

At most one stopping instance stays: it needs a report of every other one that it has
yielded, and none takes that back. Of several that could, the one that was told to stop
last stays; names decide among equal times.
"""

from typing import NamedTuple

from almonddeal.announced.entry_states import READY, STOPPING

MAX_SETTLE_MS = 250.0  # for reports of instances that are stopped at the same time
# By the users' rules, two instances that are ready 4 s after SIGTERM are too many. The
# load balancer needs two probes to take one out of rotation.
MAX_DECIDE_MS = 1400.0
MAX_CONTROL_SILENCE_MS = 500.0


class StayBounds(NamedTuple):
    """Times from SIGTERM in ms.

    Attributes
    ----------
    settle_ms : float
        No instance yields earlier, unless it has no reports of the others.
    decide_ms : float
        An instance yields then unless it is certain that all others have.
    hold_ms : float
        Also the last one yields then.
    """

    settle_ms: float
    decide_ms: float
    hold_ms: float


class OwnStop(NamedTuple):
    """The stop of the instance that decides.

    Attributes
    ----------
    instance : str
    stopped_ms : float
        Time of its SIGTERM that it reported, for the order; clocks may differ.
    since_ms : float
        Time since its SIGTERM.
    is_last : bool
        Whether it was found to be the last one before.
    """

    instance: str
    stopped_ms: float
    since_ms: float
    is_last: bool


class Decision(NamedTuple):
    """Whether to count as ready, since SIGTERM until when at most, and why.

    Attributes
    ----------
    is_ready : bool
    until_ms : float
        From SIGTERM; 0 if not ready.
    is_last : bool
        Whether all others are known to have yielded.
    reason : str
    """

    is_ready: bool
    until_ms: float
    is_last: bool
    reason: str


def make_bounds(response_timeout_s, drain_delay_s):
    """Return the `StayBounds` of a stop.

    Parameters
    ----------
    response_timeout_s : float
        When the instance breaks off its requests, from SIGTERM.
    drain_delay_s : float
        Longest time for which the load balancer sends callers after the first miss.
    """
    # What is accepted after the last miss has to end as well.
    hold_ms = max(0.0, 1000 * (response_timeout_s - drain_delay_s))
    decide_ms = min(MAX_DECIDE_MS, hold_ms)
    return StayBounds(min(MAX_SETTLE_MS, decide_ms), decide_ms, hold_ms)


def decide_stay(own, others, control_silence_ms, bounds):
    """Return the `Decision` of a stopping instance that has not yielded yet.

    Parameters
    ----------
    own : OwnStop
    others : list of EntryState
        Last reports of all other instances.
    control_silence_ms : float
        Time since control was heard last; infinite if it is cut off or stale.
    bounds : StayBounds
    """
    if own.is_last:
        return _decide_last(own, others, bounds)
    if control_silence_ms > MAX_CONTROL_SILENCE_MS:
        return _yielded("control is not heard")
    if not others:
        return _yielded("no other instance is known")
    if own.since_ms < bounds.settle_ms:
        return Decision(True, bounds.settle_ms, False, "reports may be on their way")
    if any(other.state == READY for other in others):
        return _yielded("another instance is ready")
    if _is_stopped_later(own, others):
        return _yielded("another instance was stopped later")
    if all(other.state != STOPPING for other in others):
        return _decide_last(own._replace(is_last=True), others, bounds)
    if own.since_ms < bounds.decide_ms:
        return Decision(True, bounds.decide_ms, False, "others have not yielded yet")
    return _yielded("others have not yielded in time")


def _decide_last(own, others, bounds):
    # What the others said holds also if control is cut off: they have yielded for good.
    # One that has started since is seen too late at worst.
    if any(other.state == READY for other in others):
        return _yielded("another instance is ready")
    if _is_stopped_later(own, others):
        return _yielded("another instance was stopped later")
    if own.since_ms >= bounds.hold_ms:
        return _yielded("what it would accept can no longer end")
    return Decision(True, bounds.hold_ms, True, "no other instance is ready")


def _is_stopped_later(own, others):
    key = own.stopped_ms, own.instance
    return any(
        other.state == STOPPING and (other.stopped_ms, other.instance) > key
        for other in others
    )


def _yielded(reason):
    return Decision(False, 0.0, False, reason)
