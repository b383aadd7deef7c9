"""Who belongs to the control group, and which single change to it comes next.

A change adds or removes one voter, so that majorities before and after it overlap. A
process that lost its disk has a new name and joins as a new member; the name it had
never votes again.

References
----------
D. Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapter 4.
"""

from almonddeal_common.wire.gen.ttypes import MemberSet

REMOVE_AFTER_SILENCE_MS = 2000  # longer than an election and a process restart


class Members:
    """The voters of the group.

    Parameters
    ----------
    address_by_name : dict of str to str
        Link address of each voter.
    n_wanted : int
        Number of voters that the group should have; a silent voter beyond it is
        removed.
    """

    __slots__ = ("address_by_name", "n_wanted")

    def __init__(self, address_by_name, n_wanted):
        self.address_by_name = dict(address_by_name)
        self.n_wanted = n_wanted

    def __repr__(self):
        return f"Members({self.address_by_name!r}, {self.n_wanted})"

    def __contains__(self, name):
        return name in self.address_by_name

    @property
    def quorum(self):
        """Number of voters that make a majority."""
        return len(self.address_by_name) // 2 + 1

    def others(self, name):
        """Return the names of the voters without one, as a list."""
        return [other for other in self.address_by_name if other != name]

    def with_voter(self, joining):
        """Return the members with a joining process as a voter."""
        n_wanted = self.n_wanted + int(joining.is_addition)
        return Members(
            {**self.address_by_name, joining.name: joining.address}, n_wanted
        )

    def without_voter(self, name):
        """Return the members without a voter."""
        left = {n: a for n, a in self.address_by_name.items() if n != name}
        return Members(left, self.n_wanted)

    def to_wire(self):
        """Return the `MemberSet` that stands for these members."""
        return MemberSet(self.address_by_name, self.n_wanted)

    @classmethod
    def from_wire(cls, message):
        """Return the members of a `MemberSet`; None if there is none."""
        if message is None:
            return None
        return cls(message.address_by_name, message.n_wanted)


class Joining:
    """A process that asked to become a voter and receives the log meanwhile."""

    __slots__ = ("address", "is_addition", "name")

    def __init__(self, name, address, is_addition):
        self.name = name
        self.address = address
        self.is_addition = is_addition


def next_members(members, joining_by_name, is_caught_up, silence_ms):
    """Return the members after the next change, or None if none is due.

    Parameters
    ----------
    members : Members
        In force and committed.
    joining_by_name : dict of str to Joining
    is_caught_up : callable
        Tells by name whether a joining process holds the whole log.
    silence_ms : callable
        Time in ms since a voter, by name, answered the leader.
    """
    for joining in joining_by_name.values():
        for name, address in members.address_by_name.items():
            if address == joining.address and name != joining.name:
                return members.without_voter(name)
    for joining in joining_by_name.values():
        if joining.name not in members and is_caught_up(joining.name):
            return members.with_voter(joining)
    if len(members.address_by_name) <= members.n_wanted:
        return None
    silent = max(members.address_by_name, key=silence_ms)
    if silence_ms(silent) < REMOVE_AFTER_SILENCE_MS:
        return None
    return members.without_voter(silent)
