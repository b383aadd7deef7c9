"""Revisions of what a subscriber of the feed has."""

from typing import NamedTuple


class Revisions(NamedTuple):
    """Revisions of the maps that a subscriber has."""

    announcements: int
    runs: int
    limits: int
    entries: int
    records: tuple

    def include(self, others):
        """Tell whether no revision is before the one of some others."""
        return all(
            revision >= other
            for revision, other in zip(
                [*self[:-1], *self.records],
                [*others[:-1], *others.records],
                strict=True,
            )
        )
