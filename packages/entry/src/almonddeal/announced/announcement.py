"""What a target said of itself last, and which of two words about it is newer."""

from almonddeal_common.wire.gen.ttypes import AnnouncedTarget

READY = 1
DRAINING = 2
DEREGISTERED = 3
EXPIRED = 4


def order_of(announcement):
    """Return the position of a record among all of its target: start, then count."""
    return (announcement.born_ms, announcement.sequence)


def supersedes(announcement, known):
    """Tell whether a record replaces what is known of the same target.

    A target that left stays gone in the same life, whatever comes late.
    """
    if known is None:
        return True
    if announcement.born_ms == known.born_ms and known.state == DEREGISTERED:
        return False
    if announcement.born_ms == known.born_ms and announcement.state == DEREGISTERED:
        return True
    return order_of(announcement) > order_of(known)


def differs(announcement, known):
    """Tell whether a record says anything new beside its sequence."""
    return known is None or (
        announcement.state,
        announcement.address,
        announcement.service_name,
        announcement.born_ms,
        announcement.version,
        announcement.n_slots,
    ) != (
        known.state,
        known.address,
        known.service_name,
        known.born_ms,
        known.version,
        known.n_slots,
    )


def gone_record(target, known, born_ms):
    """Return the record of a target that left.

    Parameters
    ----------
    target : str
    known : AnnouncedTarget or None
        What was known of it.
    born_ms : int or None
        Start of the life that ended, as far as the target said it.
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
