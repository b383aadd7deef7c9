"""Search for the requests and prompt segments that explain a series of crashes.

A segment that crashes engines is in a request at each of these crashes, but so are
other segments of that request, and the requests that shared the engine. The search
therefore takes the suspect that was present at most of the crashes, leaves out the
targets that it explains, and repeats this with the rest. This module performs no I/O.
"""

from collections import Counter

from almonddeal.relay.suspects import stands_for_request

MIN_CRASHES = 3
MIN_REQUESTS = 2  # a single request says nothing about its segments one by one
# Crashes at the same moment, or within a failure domain in a short time, count once:
# they have a common cause outside the targets.
COINCIDENCE_MS = 50
DOMAIN_LOSS_MS = 1000


def find_culprits(crashes, is_sound):
    """Return the suspects that explain repeated crashes, as a list of sets.

    A set has several suspects if they occurred only together; any of them may be the
    cause. If one of them stands for a request, only this request has them all.

    Parameters
    ----------
    crashes : list of SegmentEvidence
    is_sound : callable
        ``is_sound(suspect, crash)`` tells whether a suspect is known not to be the
        cause of a crash.

    Returns
    -------
    culprits : list of frozenset of str
    """
    frequent = _frequent_suspects(crashes)
    if not frequent:
        return []
    suspicions = _list_suspicions(crashes, is_sound, frequent)
    crash_by_target = {_target_of(crash): crash for crash in crashes}
    culprits = []
    while True:
        found = _most_frequent(suspicions, crash_by_target)
        if not found:
            return culprits
        culprits.extend(found)
        explained = {
            target
            for target, suspects, _ in suspicions
            if any(culprit <= suspects for culprit in found)
        }
        suspicions = [s for s in suspicions if s[0] not in explained]


def _frequent_suspects(crashes):
    """Return the suspects of enough crashes; most requests meet one in their life."""
    n_by_suspect = Counter(s for crash in crashes for s in crash.prefix_hashes)
    return {suspect for suspect, n in n_by_suspect.items() if n >= MIN_CRASHES}


def _list_suspicions(crashes, is_sound, frequent):
    """Return tuples of target process, suspects that may have crashed it, and crash.

    The suspects are those of `frequent`; others can't explain enough crashes.
    """
    suspicions_by_target = {}
    for crash in crashes:
        suspects = frozenset(s for s in crash.prefix_hashes if not is_sound(s, crash))
        if suspects:
            target = _target_of(crash)
            suspicions_by_target.setdefault(target, []).append(
                (target, suspects, crash)
            )
    return [
        (target, suspects & frequent, crash)
        for suspicions in suspicions_by_target.values()
        for target, suspects, crash in _started_or_all(suspicions)
        if not suspects.isdisjoint(frequent)
    ]


def _started_or_all(suspicions):
    """Prefer the requests to which the target had just started to respond."""
    started = [s for s in suspicions if s[2].has_response]
    return started or suspicions


def _most_frequent(suspicions, crash_by_target):
    """Return what was present at most crashes, as a list of sets.

    Suspects that were present in exactly the same requests are in one set. There are
    several sets if nothing tells two requests apart, and none below the limits.
    """
    crashes_by_suspect = {}
    for _, suspects, crash in suspicions:
        for suspect in suspects:
            crashes_by_suspect.setdefault(suspect, []).append(crash)
    n_by_suspect = {
        suspect: _count_crashes(suspect, crashes, crash_by_target)
        for suspect, crashes in crashes_by_suspect.items()
        if len(crashes) >= MIN_CRASHES
    }
    n_crashes = max(n_by_suspect.values(), default=0)
    if n_crashes < MIN_CRASHES:
        return []

    def rank(suspect):
        crashes = crashes_by_suspect[suspect]
        n_targets = len({_target_of(crash) for crash in crashes})
        if stands_for_request(suspect):
            # A request that crashes targets comes again; its neighbours may not.
            return -n_targets, 0, -len({crash.request for crash in crashes})
        return -n_targets, 1, len(crashes)

    candidates = [s for s, n in n_by_suspect.items() if n == n_crashes]
    first_rank = min(map(rank, candidates))
    first = sorted(s for s in candidates if rank(s) == first_rank)
    if not stands_for_request(first[0]):
        # All instances with the same evidence take the same one.
        first = first[:1]
    return [_with_companions(suspect, crashes_by_suspect) for suspect in first]


def _with_companions(suspect, crashes_by_suspect):
    """Return the suspects that occurred in exactly the same requests, as a set."""
    keys = {crash.key for crash in crashes_by_suspect[suspect]}
    return frozenset(
        companion
        for companion, crashes in crashes_by_suspect.items()
        if {crash.key for crash in crashes} == keys
    )


def _count_crashes(suspect, crashes, crash_by_target):
    """Return the number of crashes that count against a suspect."""
    if stands_for_request(suspect):
        return _count_under_request(crashes, crash_by_target)
    n_requests = len({crash.request for crash in crashes})
    return _count_independent(crashes) if n_requests >= MIN_REQUESTS else 0


def _count_under_request(crashes, crash_by_target):
    """Return the number of targets that crashed under one request, sent repeatedly.

    Those that were lost with a failure domain, which shows by others that did not run
    the request, count once.
    """
    targets = {_target_of(crash) for crash in crashes}
    others = [c for target, c in crash_by_target.items() if target not in targets]
    with_domain = [c for c in crashes if any(_is_same_loss(c, o) for o in others)]
    alone = targets - {_target_of(crash) for crash in with_domain}
    return len(alone) + _count_independent(with_domain)


def _target_of(crash):
    return crash.target, crash.born_ms


def count_successive(crashes):
    """Return the number of crashes that a request met as it was sent on.

    Those of a failure domain that may have been lost as a whole count once.

    Parameters
    ----------
    crashes : list of SegmentEvidence

    Returns
    -------
    n_crashes : int
    """
    return _count_uncorrelated(crashes, _is_same_loss)


def _count_independent(crashes):
    """Return the number of crashes that have no common cause outside the targets."""
    return _count_uncorrelated(crashes, _is_correlated)


def _count_uncorrelated(crashes, is_correlated):
    targets, counted = set(), []
    for crash in sorted(crashes, key=lambda c: (c.observed_ms, c.key)):
        target = _target_of(crash)
        if target in targets:
            continue
        targets.add(target)
        if not any(is_correlated(crash, other) for other in counted):
            counted.append(crash)
    return len(counted)


def _is_correlated(crash, other):
    distance_ms = abs(crash.observed_ms - other.observed_ms)
    return distance_ms < COINCIDENCE_MS or _is_same_loss(crash, other)


def _is_same_loss(crash, other):
    """Tell whether two targets may have been lost with their failure domain."""
    if crash.failure_domain != other.failure_domain:
        return False
    return abs(crash.observed_ms - other.observed_ms) < DOMAIN_LOSS_MS
