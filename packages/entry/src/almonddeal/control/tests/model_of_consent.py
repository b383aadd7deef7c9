"""Model of a replacement to which a stalled voter consents without storing it.

A group of the voters a, b, c (and d, e) loses the disk of a; the successor s starts at
the address of a. The disk of b may stall. The proposal of DECISIONS/0019: while b
cannot store anything, its consent from memory lets c lead, and lets c put s in the
place of a in one entry. The model visits all interleavings within its bounds, breadth
first.

Steps: elections, appends, deliveries, the loss of a with the start of s, one stall of b
that ends or ends with a loss of power, and the replacement, by consent or by today's
two changes. One more lost disk after the replacement is checked in each state.

What is left out:

- Time, pre-votes, leases, reads and snapshots. A log is sent as a whole; shorter ones
  are those sent before.
- Requests and appends of members other than a arrive as sent last, or not at all. What
  a sent arrives at any time, any number of times, also after its loss. A vote, an
  acknowledgement and a consent count at any time after they were given.
- Disks other than that of b store at once, and no member other than b loses its power.
  A stalled disk has one operation in flight, which a loss of power completes or undoes.
- Entries are known by the term in which they were appended, with one command a term. So
  two leaders in a term are an error, also if one of them is lost. A leader commits as
  soon as it may; a later commit only weakens the invariants.
- A consent does not bind b, so it does not matter when b forgets it.
- Only c asks for consent, and only b gives it, while its disk stalls. No other member
  stalls, and no successor of a second lost disk starts.
"""

from collections import deque
from functools import cache
from itertools import chain
from typing import NamedTuple

A, B, C = range(3)
FOLLOWER, CANDIDATE, LEADER = range(3)
COMMAND, REMOVAL, SUCCESSION = "command", "removal", "succession"
BEFORE_STALL, IN_STALL, AFTER_STALL = range(3)

# The conditions of the proposal.
GONE = "the disk of a is lost, and a does not run out of reach"
STAYS_GONE = "the folder of a never comes back at its address"
TERM = "b has stored no term above that of c"
VOTE = "b has not stored a vote for another in the term for which c stands"
LOG = "the log of b is not newer than that of c, if c stands for election"
IN_FLIGHT = "the log of b includes what its disk has yet to store"
ROLE = "b ends its leadership or candidacy as it consents"
PROCESS = "a message of a counts only for the process of b to which it was sent"
FIRST = "b has consented before the entry with s is appended anywhere"
BOTH = "c and s have stored their whole logs before the entry with s is committed"
ONLY_TWO = "no voter other than b and c is left in the set of c"
CONDITIONS = frozenset(
    {
        GONE,
        STAYS_GONE,
        TERM,
        VOTE,
        LOG,
        IN_FLIGHT,
        ROLE,
        PROCESS,
        FIRST,
        BOTH,
        ONLY_TWO,
    }
)


class Violation(Exception):
    """Raised for a state in which an invariant does not hold; its argument names it."""


class Member(NamedTuple):
    """What a member has stored, and its role."""

    term: int
    vote: int | None
    role: int
    log: tuple  # of (term, kind)


class State(NamedTuple):
    """State of the group."""

    members: tuple  # of Member, by number; the last one is s
    lost: tuple = ()  # members whose disks are lost
    stall: int = BEFORE_STALL  # of b
    process: int = 0  # number of times that b has lost its power
    in_flight: tuple | None = None  # `Member` that b becomes, and its replies after it
    sent: frozenset = frozenset()  # (term, log) of the appends of a
    votes: frozenset = frozenset()  # (term, voter, candidate, process of b)
    acks: frozenset = frozenset()  # (term, member, log length)
    consents: frozenset = frozenset()  # terms of c to which b has consented
    led_terms: tuple = ()  # terms of the leaders there were
    acked: tuple = (0, ())  # term of the last commit, and the log that clients rely on
    is_replaced: bool = False  # whether the entry with s is committed

    def with_member(self, x, member):
        """Return the state with another value for one member."""
        members = (*self.members[:x], member, *self.members[x + 1 :])
        return self._replace(members=members)


EMPTY = Member(0, None, FOLLOWER, ())


def newness(log):
    """Return what voters compare of a log: the term of its last entry, its length."""
    return (log[-1][0] if log else 0), len(log)


def is_prefix(log, other):
    """Tell whether a log is the beginning of another one."""
    return other[: len(log)] == log


@cache
def has_kind(log, kind):
    """Tell whether a log has an entry of a kind."""
    return any(entry[1] == kind for entry in log)


class Model:
    """Steps and invariants of a group.

    Parameters
    ----------
    n_voters : int
    conditions : frozenset of str, optional
        Those of the proposal that are kept.
    consents_to : tuple of int, optional
        Roles of c in which b may consent; without any, this is the protocol of today.
    has_removal : bool, optional
        Whether a may be replaced by today's two changes as well.
    max_term : int, optional
    max_commands : int, optional
        Commands in one log.
    """

    def __init__(
        self,
        n_voters,
        conditions=CONDITIONS,
        consents_to=(LEADER, CANDIDATE),
        has_removal=True,
        max_term=3,
        max_commands=1,
    ):
        self.successor = n_voters
        self.survivors = tuple(range(B, n_voters))
        self.conditions = conditions
        self.consents_to = consents_to
        self.has_removal = has_removal
        self.max_term = max_term
        self.max_commands = max_commands
        self._is_a_wiped = conditions >= {GONE, STAYS_GONE}
        self._is_a_cut_off = conditions >= {GONE, PROCESS}  # by a restart of b
        self._voters = frozenset(range(n_voters))
        self._survivors = frozenset(self.survivors)
        self._successors = self._survivors | {n_voters}

    def first_states(self, leaders=(A, B, C), lost=(), stall=BEFORE_STALL, late=None):
        """Return a state for each leader of term 1 and each voter that did not vote.

        Parameters
        ----------
        leaders : sequence of int, optional
        lost : tuple of int, optional
        stall : int, optional
        late : sequence of int, optional
            Voters that did not vote, one a state; all if not given.
        """
        for leader in leaders:
            for other in set(late or self._voters) - {leader}:
                members = [Member(1, leader, FOLLOWER, ())] * len(self._voters)
                members[leader] = Member(1, leader, LEADER, ())
                members[other] = EMPTY
                yield State((*members, EMPTY), lost, stall, led_terms=(1,))

    def explore(self, states, is_goal=lambda state: False):
        """Visit all states that can be reached, and check each of them.

        Parameters
        ----------
        states : iterable of State
        is_goal : callable, optional
            Ends the search.

        Returns
        -------
        n_states : int
        path : list of State
            From a first state to the goal; empty if it was not reached.

        Raises
        ------
        Violation
            Its second argument is the path to the state.
        """
        previous_by_state = {}
        queue = deque()

        def path_to(state):
            path = [state]
            while (state := previous_by_state[state]) is not None:
                path.append(state)
            return path[::-1]

        def visit(state, previous):
            if state in previous_by_state:
                return
            state = self._normalise(state)
            if state not in previous_by_state:
                previous_by_state[state] = previous
                queue.append(state)
                problem = self.problem(state)
                if problem is not None:
                    raise Violation(problem, path_to(state))

        for state in states:
            visit(state, None)
        while queue:
            state = queue.popleft()
            if is_goal(state):
                return len(previous_by_state), path_to(state)
            for following in self._next_states(state):
                visit(following, state)
        return len(previous_by_state), []

    # What members know

    def _members_of(self, log):
        if has_kind(log, SUCCESSION):
            return self._successors
        return self._survivors if has_kind(log, REMOVAL) else self._voters

    def _is_running(self, state, x):
        if x == A and GONE not in self.conditions:
            return True
        if x == self.successor and A not in state.lost:
            return False
        return x not in state.lost

    def _candidacy(self, state, x):
        """Return (term, log) with which a member stands for election, or None.

        It requests votes beside the operation that stores its own.
        """
        member = state.members[x]
        if x == B and state.in_flight and state.in_flight[0].role == CANDIDATE:
            member = state.in_flight[0]
        return (member.term, member.log) if member.role == CANDIDATE else None

    def _log_in_memory(self, state, x):
        """Return the log that a leader sends; it does not wait for its own disk."""
        if x == B and state.in_flight and state.in_flight[0].role == LEADER:
            return state.in_flight[0].log
        return state.members[x].log

    def _can_use_messages_of_a(self, state, x):
        if x != B or A not in state.lost:
            return True
        return not state.process or not self._is_a_cut_off

    def _committed_length(self, state, x):
        """Return the length of the log that a leader may commit with its acks."""
        term, _, _, log = state.members[x]
        lengths = [0] * (self.successor + 1)
        for ack_term, y, n in state.acks:
            if ack_term == term and (y != A or self._can_use_messages_of_a(state, x)):
                lengths[y] = max(lengths[y], n)
        lengths[x] = len(log)
        if (term, SUCCESSION) in log and term in state.consents:
            if BOTH not in self.conditions:
                lengths[self.successor] = len(log)
        elif (term, SUCCESSION) in log and FIRST not in self.conditions:
            return 0
        voters = self._members_of(log)
        stored = sorted((lengths[y] for y in voters), reverse=True)
        n = min(stored[len(voters) // 2], len(log))
        return n if n and log[n - 1][0] == term else 0

    # Steps

    def _next_states(self, state):
        steps = [self._faults(state), self._consents(state)]
        members = range(self.successor + 1)
        candidacies = [(x, self._candidacy(state, x)) for x in members]
        candidacies = [pair for pair in candidacies if pair[1] is not None]
        for x in members:
            if self._is_running(state, x):
                steps.append(self._elections(state, x, candidacies))
                steps.append(self._appends(state, x))
        return (s for s in chain.from_iterable(steps) if s is not None)

    def _stored(self, state, x, member, vote=None, ack=None):
        """Return the state after a member has stored something and replied, or None.

        A stalled disk does both later; it has one operation at a time.
        """
        if x == B and state.stall == IN_STALL:
            if state.in_flight:
                return None
            now = state.members[B]
            if (now.term, now.vote, now.log) != (member.term, member.vote, member.log):
                return state._replace(in_flight=(member, vote, ack))
        following = state.with_member(x, member)
        if vote is not None:
            following = following._replace(votes=state.votes | {vote})
        if ack is not None:
            following = following._replace(acks=state.acks | {ack})
        return following

    def _faults(self, state):
        if not state.lost:
            yield state._replace(lost=(A,))
        is_one_lost = state.is_replaced and state.lost == (A,)
        if is_one_lost and STAYS_GONE not in self.conditions:
            returned = state.members[A]._replace(role=FOLLOWER)
            yield state.with_member(A, returned)._replace(lost=(self.successor,))
        if state.stall == BEFORE_STALL:
            yield state._replace(stall=IN_STALL)
        if state.stall == IN_STALL:
            ended = state._replace(stall=AFTER_STALL, in_flight=None)
            stored = {state.members[B]}
            if state.in_flight:
                yield self._stored(ended, B, *state.in_flight)
                stored.add(state.in_flight[0])
            else:
                yield ended
            for member in stored:
                restarted = ended._replace(process=1)
                yield restarted.with_member(B, member._replace(role=FOLLOWER))

    def _elections(self, state, x, candidacies):
        member = state.members[x]
        term, vote, role, log = member
        if role != LEADER and term < self.max_term and x in self._members_of(log):
            yield self._stored(state, x, Member(term + 1, x, CANDIDATE, log))
        if role == CANDIDATE and self._has_majority(state, x):
            elected = state.with_member(x, member._replace(role=LEADER))
            yield elected._replace(led_terms=(*state.led_terms, term))
        for candidate, (new_term, its_log) in candidacies:
            if candidate == x or new_term < term or x not in self._members_of(its_log):
                continue
            if candidate == A and not self._can_use_messages_of_a(state, x):
                continue
            is_free = new_term > term or vote in (None, candidate)
            if is_free and newness(its_log) >= newness(log):
                process = state.process if candidate == B else 0
                granted = (new_term, x, candidate, process)
                if new_term > term or vote is None or granted not in state.votes:
                    voted = Member(new_term, candidate, FOLLOWER, log)
                    yield self._stored(state, x, voted, vote=granted)
            elif new_term > term:
                yield self._stored(state, x, Member(new_term, None, FOLLOWER, log))

    def _has_majority(self, state, x):
        term, _, _, log = state.members[x]
        granted = {x}
        for vote_term, voter, candidate, process in state.votes:
            if (vote_term, candidate) != (term, x):
                continue
            if voter == A and not self._can_use_messages_of_a(state, x):
                continue
            if x == B and process != state.process and PROCESS in self.conditions:
                continue
            granted.add(voter)
        if x == C and term in state.consents:
            granted.add(B)
        voters = self._members_of(log)
        return len(granted & voters) > len(voters) // 2

    def _appends(self, state, x):
        term, vote, role, log = state.members[x]
        if role == LEADER:
            for kind in self._kinds_to_append(state, x):
                longer = Member(term, vote, role, (*log, (term, kind)))
                yield self._stored(state, x, longer)
            log = self._log_in_memory(state, x)
            for y in (self._members_of(log) | {self.successor}) - {x}:
                if self._is_running(state, y):
                    yield self._delivered(state, term, log, y)
        if x in self._survivors and self._can_use_messages_of_a(state, x):
            for sent_term, sent_log in state.sent:
                yield self._delivered(state, sent_term, sent_log, x)

    def _kinds_to_append(self, state, x):
        term, _, _, log = state.members[x]
        kinds = [kind for _, kind in log]
        if (term, COMMAND) not in log and kinds.count(COMMAND) < self.max_commands:
            yield COMMAND
        if x == A or A not in state.lost or SUCCESSION in kinds:
            return
        # Today, a change follows a commit in this term of the change before.
        n_committed = len(state.acked[1]) if state.acked[0] == term else 0
        if REMOVAL not in kinds:
            if self.has_removal and (n_committed or not log):
                yield REMOVAL
        elif n_committed > kinds.index(REMOVAL):
            yield SUCCESSION
            return
        is_agreed = term in state.consents or FIRST not in self.conditions
        if x == C and self.consents_to and is_agreed:
            yield SUCCESSION

    def _delivered(self, state, term, log, y):
        """Return the state after a member got an append, or None if nothing changes."""
        its_term, vote, role, its_log = state.members[y]
        if term < its_term or (term == its_term and role == LEADER):
            return None
        new_log = its_log if is_prefix(log, its_log) else log
        member = Member(term, vote if term == its_term else None, FOLLOWER, new_log)
        ack = (term, y, len(log))
        return self._stored(state, y, member, ack=ack)

    def _consents(self, state):
        """B consents to c, which leads or stands for election."""
        if state.stall != IN_STALL or state.lost != (A,):
            return
        term, _, role, log = state.members[C]
        member = state.members[B]
        if role not in self.consents_to or term in state.consents:
            return
        if ONLY_TWO in self.conditions and len(self._members_of(log) - {A}) > 2:
            return
        if TERM in self.conditions and member.term > term:
            return
        if role == CANDIDATE:
            is_free = member.term != term or member.vote in (None, C)
            if VOTE in self.conditions and not is_free:
                return
            its_log = member.log
            if state.in_flight and IN_FLIGHT in self.conditions:
                its_log = max(its_log, state.in_flight[0].log, key=newness)
            if LOG in self.conditions and newness(its_log) > newness(log):
                return
        following = state._replace(consents=state.consents | {term})
        if ROLE in self.conditions:
            following = following.with_member(B, member._replace(role=FOLLOWER))
            if state.in_flight:
                later, vote, ack = state.in_flight
                later = later._replace(role=FOLLOWER)
                following = following._replace(in_flight=(later, vote, ack))
        yield following

    # Invariants

    def problem(self, state):
        """Return the invariant that does not hold, or None."""
        if len(set(state.led_terms)) < len(state.led_terms):
            return "two leaders in a term"
        acked_term, acked_log = state.acked
        for x, member in enumerate(state.members):
            if member.role != LEADER or member.term < acked_term:
                continue
            is_whole = is_prefix(acked_log, self._log_in_memory(state, x))
            if not is_whole and self._is_running(state, x):
                return "a leader lacks an acknowledged entry"
        if state.is_replaced and state.lost == (A,):
            for lost in self._successors:
                problem = self._problem_after_loss(state, self._successors - {lost})
                if problem is not None:
                    return problem
        return None

    def _problem_after_loss(self, state, left):
        """Return what is wrong with the disks that are left after one more loss."""
        # Voters elect the one with the newest log, or one with an equal log.
        newest = max(newness(state.members[x].log) for x in left)
        for x in left:
            log = state.members[x].log
            if newness(log) == newest:
                if not is_prefix(state.acked[1], log):
                    return "the disks that are left lack an acknowledged entry"
                voters = self._members_of(log)
                if len(voters & left) <= len(voters) // 2:
                    return "the disks that are left are no majority"
        return None

    def _normalise(self, state):
        """Commit what leaders may commit, and forget what has no effect any more."""
        members = list(state.members)
        for x in state.lost:
            if x != A or not self._is_a_of_effect(state):
                members[x] = EMPTY
        leaders = [
            x
            for x, member in enumerate(members)
            if member.role == LEADER and self._is_running(state, x)
        ]
        for x in leaders:
            state = self._committed(state, x)
        acks, sent, votes = state.acks, state.sent, state.votes
        if acks:
            n_acked_by_term = {members[x].term: 0 for x in leaders}
            if state.acked[0] in n_acked_by_term:
                n_acked_by_term[state.acked[0]] = len(state.acked[1])
            acks = frozenset(
                (term, y, n)
                for term, y, n in acks
                if n > n_acked_by_term.get(term, n) and (term, y, n + 1) not in acks
            )
        if A in leaders:
            sent |= {(members[A].term, members[A].log)}
        if sent:
            lowest = min(members[x].term for x in self._readers_of_a(state))
            sent = frozenset(append for append in sent if append[0] >= lowest)
        if votes:
            votes = frozenset(vote for vote in votes if self._may_count(state, vote))
        c = members[C]
        return state._replace(
            members=tuple(members),
            acks=acks,
            votes=votes,
            sent=sent,
            consents=state.consents & ({c.term} if c.role != FOLLOWER else set()),
            led_terms=self._led_terms(state),
        )

    def _led_terms(self, state):
        """Return the terms of leaders that another member may still lead."""
        terms = state.led_terms
        if len(set(terms)) < len(terms):
            return terms
        others = [
            member
            for x, member in enumerate(state.members)
            if x not in state.lost or not self._is_a_wiped
        ]
        return tuple(
            sorted(t for t in terms if any(self._may_lead_in(y, t) for y in others))
        )

    def _readers_of_a(self, state):
        return [x for x in self.survivors if self._can_use_messages_of_a(state, x)]

    def _is_a_of_effect(self, state):
        """Tell whether what the lost member stored or requested still matters."""
        a = state.members[A]
        if not self._is_a_wiped:
            return True
        readers = [state.members[x] for x in self._readers_of_a(state)]
        return a.role == CANDIDATE and any(
            y.term < a.term or (y.term == a.term and y.vote is None) for y in readers
        )

    @staticmethod
    def _may_lead_in(member, term):
        is_candidate = member.term == term and member.role == CANDIDATE
        return member.term < term or is_candidate

    def _committed(self, state, x):
        log = state.members[x].log[: self._committed_length(state, x)]
        acked_log = state.acked[1]
        if is_prefix(log, acked_log):
            return state
        if not is_prefix(acked_log, log):
            log = acked_log  # `problem` finds that this leader has another one
        is_replaced = state.is_replaced or has_kind(log, SUCCESSION)
        return state._replace(
            acked=(state.members[x].term, log), is_replaced=is_replaced
        )

    def _may_count(self, state, vote):
        """Tell whether a candidate may still use a vote."""
        term, _, candidate, process = vote
        member = state.members[candidate]
        if not self._is_running(state, candidate):
            return False
        if candidate == B and process != state.process and PROCESS in self.conditions:
            return False
        if self._candidacy(state, candidate):
            return term >= member.term
        return term > member.term
