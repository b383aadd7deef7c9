"""Fencing numbers of orders to targets; they increase with each term and order."""

TERM_SHIFT_BITS = 24


def fence_of_term(term):
    """Return the lowest fencing number of a term."""
    return term << TERM_SHIFT_BITS
