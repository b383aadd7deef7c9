"""States and precedence of the announcements of a target."""

from almonddeal_common.wire.gen.ttypes import AnnouncedTarget

READY = 1
DRAINING = 2
DEREGISTERED = 3
EXPIRED = 4


def precedence(announcement):
    """Return the sort key among announcements of a target: process start, sequence."""
    return (announcement.born_ms, announcement.sequence)


def supersedes(announcement, known):
    """Return whether an announcement supersedes the known one of the same target.

    Within one incarnation, deregistration is final: a delayed announcement does not
    bring the target back.

    Parameters
    ----------
    announcement : AnnouncedTarget
    known : AnnouncedTarget or None

    Returns
    -------
    supersedes : bool
    """
    if known is None:
        return True
    if announcement.born_ms == known.born_ms and known.state == DEREGISTERED:
        return False
    if announcement.born_ms == known.born_ms and announcement.state == DEREGISTERED:
        return True
    return precedence(announcement) > precedence(known)


def is_same_heartbeat(announcement, known):
    """Return whether two announcements of a target stand for the same heartbeat."""
    return known is not None and precedence(announcement) == precedence(known)


def is_unheard(announcement):
    """Return whether control had not heard the target for longer than it should."""
    return bool(announcement.age_ms)


def with_state(announcement, state, age_ms=0):
    """Return a copy of an announcement with another state and age.

    Parameters
    ----------
    announcement : AnnouncedTarget
    state : int
    age_ms : float
        Time since the heartbeat, if the next one is overdue; else 0.
    """
    return AnnouncedTarget(
        announcement.target,
        announcement.service_name,
        announcement.address,
        announcement.failure_domain,
        announcement.version,
        announcement.n_slots,
        state,
        announcement.born_ms,
        announcement.sequence,
        announcement.warmup_ms,
        round(age_ms),
    )


def differs(announcement, known):
    """Return whether an announcement differs from the known one.

    Compares state, address, service, process start, version, slots and whether the next
    heartbeat is overdue. True if no announcement is known.
    """
    return known is None or (
        announcement.state,
        announcement.address,
        announcement.service_name,
        announcement.born_ms,
        announcement.version,
        announcement.n_slots,
        is_unheard(announcement),
    ) != (
        known.state,
        known.address,
        known.service_name,
        known.born_ms,
        known.version,
        known.n_slots,
        is_unheard(known),
    )


def make_deregistration(target, known, born_ms):
    """Return the announcement that stands for the deregistration of a target.

    Parameters
    ----------
    target : str
    known : AnnouncedTarget or None
        Newest known announcement of the target.
    born_ms : int or None
        Start time of the incarnation that ended; None for the known one.

    Returns
    -------
    announcement : AnnouncedTarget
    """
    if known is None:
        return AnnouncedTarget(
            target, "", "", "", "", 0, DEREGISTERED, born_ms or 0, 0, 0, 0
        )
    born_ms = known.born_ms if born_ms is None else born_ms
    return AnnouncedTarget(
        target,
        known.service_name,
        known.address,
        known.failure_domain,
        known.version,
        known.n_slots,
        DEREGISTERED,
        born_ms,
        known.sequence + 1 if born_ms == known.born_ms else 0,
        0,
        0,
    )
