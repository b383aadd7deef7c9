"""Fencing numbers: they grow with every order, and with every term of the group."""

TERM_SHIFT = 24


def fence_of_term(term):
    """Return the lowest fencing number of a term."""
    return term << TERM_SHIFT
