"""What a target said of itself last, and which of two words about it is newer."""

from almonddeal_common.wire.gen.ttypes import AnnouncedTarget

READY = 1
DRAINING = 2
GONE = 3
SILENT = 4


def order_of(record):
    """Return the position of a record among all of its target: start, then count."""
    return (record.born_ms, record.sequence)


def is_newer(record, known):
    """Tell whether a record replaces what is known of the same target.

    A target that left stays gone in the same life, whatever comes late.
    """
    if known is None:
        return True
    if record.born_ms == known.born_ms and known.state == GONE:
        return False
    if record.born_ms == known.born_ms and record.state == GONE:
        return True
    return order_of(record) > order_of(known)


def differs(record, known):
    """Tell whether a record says anything new beside its sequence."""
    return known is None or (
        record.state,
        record.address,
        record.service_name,
        record.born_ms,
        record.version,
        record.n_slots,
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
        return AnnouncedTarget(target, "", "", "", "", 0, GONE, born_ms or 0, 0, 0, 0)
    born_ms = known.born_ms if born_ms is None else born_ms
    return AnnouncedTarget(
        target,
        known.service_name,
        known.address,
        known.failure_domain,
        known.version,
        known.n_slots,
        GONE,
        born_ms,
        known.sequence + 1 if born_ms == known.born_ms else 0,
        0,
        0,
    )
