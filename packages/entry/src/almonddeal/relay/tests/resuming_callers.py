"""Callers that resume their streams, and what they received over all tries."""

from almonddeal.relay.requests import Generation
from almonddeal.relay.tests.fakes import make_request

N_EVENTS = 110


class Caller:
    """What one caller received, and from which versions, over all its tries."""

    __slots__ = ("event_ids", "first_request_id", "is_complete", "name", "versions")

    def __init__(self, name):
        self.name = name
        self.versions = set()
        self.event_ids = []
        self.first_request_id = None
        self.is_complete = False

    def request(self, n_tries):
        """Return the request of the next try."""
        changes = {}
        if self.event_ids:
            changes["last_event_id"] = self.event_ids[-1]
            changes["resumed_request_id"] = self.first_request_id
        return make_request(
            10_000.0,
            Generation(800, N_EVENTS, f"print-{self.name}", f"part-{self.name}"),
            request_id=f"{self.name}-{n_tries}",
            **changes,
        )

    def add(self, request, writer):
        """Add what a try brought; return whether it brought anything."""
        if writer.event_ids and not self.event_ids:
            self.first_request_id = request.request_id
        self.event_ids += writer.event_ids
        self.versions |= writer.versions
        self.is_complete = writer.is_complete
        return writer.is_complete or bool(writer.event_ids)
