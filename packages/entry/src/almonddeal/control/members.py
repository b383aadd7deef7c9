"""Voters of the control group, and the choice of the next membership change.

A change adds or removes one voter, so that majorities before and after it overlap. A
process that lost its disk joins under a new name; its old name never votes again, since
its vote and log are lost.

References
----------
D. Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapter 4.
"""

from almonddeal_common.wire.gen.ttypes import MemberSet

REMOVE_AFTER_SILENCE_MS = 2000  # longer than an election and a process restart
RESPONSIVE_SILENCE_MS = 600  # at most, of a voter that runs


class Members:
    """The voters of the group; a member is always a voter.

    Parameters
    ----------
    address_by_name : dict of str to str
        Link address of each voter, by member name.
    n_wanted : int
        Wanted size of the group; an unresponsive voter is removed only while there are
        more voters than this.
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
        """Number of voters in a majority."""
        return len(self.address_by_name) // 2 + 1

    @property
    def has_surplus(self):
        """Whether there are more voters than wanted, so that one can be removed."""
        return len(self.address_by_name) > self.n_wanted

    def voters_except(self, name):
        """Return the names of all voters except one, as a list."""
        return [other for other in self.address_by_name if other != name]

    def with_voter(self, join_request):
        """Return the members with a joining process added as a voter."""
        n_wanted = self.n_wanted + int(join_request.is_addition)
        return Members(
            {**self.address_by_name, join_request.name: join_request.address}, n_wanted
        )

    def without_voter(self, name):
        """Return the members with one voter removed."""
        remaining = {n: a for n, a in self.address_by_name.items() if n != name}
        return Members(remaining, self.n_wanted)

    def to_wire(self):
        """Return the members as a `MemberSet`."""
        return MemberSet(self.address_by_name, self.n_wanted)

    @classmethod
    def from_wire(cls, message):
        """Return the members of a `MemberSet`, or None if it is None."""
        if message is None:
            return None
        return cls(message.address_by_name, message.n_wanted)


class JoinRequest:
    """Request of a process to become a voter; it receives the log until then.

    Parameters
    ----------
    name : str
    address : str
    is_addition : bool
        Whether the wanted size of the group grows by this voter; otherwise the voter
        replaces a lost one.
    """

    __slots__ = ("address", "is_addition", "name")

    def __init__(self, name, address, is_addition):
        self.name = name
        self.address = address
        self.is_addition = is_addition


def next_members(
    members, join_request_by_name, is_caught_up, silence_ms, leaving_names=()
):
    """Return the members after the next change, or None if there is none to make.

    Parameters
    ----------
    members : Members
        Members of the last committed change.
    join_request_by_name : dict of str to JoinRequest
    is_caught_up : callable
        Returns whether the joining process of a name replies and has the whole
        committed log.
    silence_ms : callable
        Returns the time in ms since the voter of a name last replied to the leader.
    leaving_names : sequence of str
        Members whose process stops. One is removed at once while all other voters
        reply; if one does not, that one may be lost, and this one may only restart.
    """
    for join_request in join_request_by_name.values():
        for name, address in members.address_by_name.items():
            if address == join_request.address and name != join_request.name:
                return members.without_voter(name)
    most_silent = max(members.address_by_name, key=silence_ms)
    is_lost = silence_ms(most_silent) >= REMOVE_AFTER_SILENCE_MS
    is_of_wanted_size = len(members.address_by_name) == members.n_wanted
    for join_request in join_request_by_name.values():
        if join_request.name in members or not is_caught_up(join_request.name):
            continue
        if is_lost and is_of_wanted_size and not join_request.is_addition:
            # The majority that then adds the successor does not wait for its disk. Not
            # before it has caught up: a sound voter may be silent for some seconds, and
            # the others need it if one of them is lost before then.
            return members.without_voter(most_silent)
        return members.with_voter(join_request)
    if not members.has_surplus:
        return None
    if is_lost:
        return members.without_voter(most_silent)
    leaving = next((name for name in leaving_names if name in members), None)
    others = members.voters_except(leaving)
    if leaving and all(silence_ms(name) < RESPONSIVE_SILENCE_MS for name in others):
        return members.without_voter(leaving)
    return None
