"""States of entry instances as a control instance keeps them."""

from almonddeal.announced.entry_states import EntryStates


class SubscriberStates(EntryStates):
    """States of all entry instances; those of subscribers end with their links."""

    def __init__(self):
        super().__init__()
        self._record_by_link = {}

    def receive(self, link, message):
        """Add the records of a `ShareRuns`; return those that are new.

        Parameters
        ----------
        link : Link
            Of the subscriber itself, unless the message was relayed.
        message : ShareRuns
            Its records are None in the messages of earlier releases.
        """
        records = [record for record in message.entries or [] if self.add(record)]
        if not message.is_relayed:
            self._record_by_link.update((link, record) for record in records)
        return records

    def end_link(self, link):
        """Record the end of a link; return the records that follow from it."""
        return self.end_subscription(self._record_by_link.pop(link, None))
