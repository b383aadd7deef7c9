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
    culprits = []
    while True:
        culprit = _most_frequent(suspicions)
        if culprit is None:
            return culprits
        culprits.append(culprit)
        explained = {target for target, found, _ in suspicions if culprit <= found}
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
            target = (crash.target, crash.born_ms)
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


def _most_frequent(suspicions):
    """Return the suspects that were present at most crashes, or None below the limits.

    Suspects that were present in exactly the same requests are returned together.
    """
    crashes_by_suspect = {}
    for _, suspects, crash in suspicions:
        for suspect in suspects:
            crashes_by_suspect.setdefault(suspect, []).append(crash)
    n_by_suspect = {
        suspect: count_independent(crashes)
        for suspect, crashes in crashes_by_suspect.items()
        if len(crashes) >= MIN_CRASHES
        and (
            stands_for_request(suspect)
            or len({crash.request for crash in crashes}) >= MIN_REQUESTS
        )
    }
    n_crashes = max(n_by_suspect.values(), default=0)
    if n_crashes < MIN_CRASHES:
        return None

    def rank(suspect):
        crashes = crashes_by_suspect[suspect]
        n_targets = len({(crash.target, crash.born_ms) for crash in crashes})
        # Of those at as many targets, the one in the fewest requests; the suspect
        # itself comes last, so that all instances with the same evidence agree.
        return -n_targets, len(crashes), suspect

    found = min((s for s, n in n_by_suspect.items() if n == n_crashes), key=rank)
    keys = {crash.key for crash in crashes_by_suspect[found]}
    return frozenset(
        suspect
        for suspect, crashes in crashes_by_suspect.items()
        if {crash.key for crash in crashes} == keys
    )


def count_independent(crashes):
    """Return the number of crashes that have no common cause outside the targets.

    Parameters
    ----------
    crashes : list of SegmentEvidence

    Returns
    -------
    n_crashes : int
    """
    targets, counted = set(), []
    for crash in sorted(crashes, key=lambda c: (c.observed_ms, c.key)):
        target = (crash.target, crash.born_ms)
        if target in targets:
            continue
        targets.add(target)
        if not any(_is_correlated(crash, other) for other in counted):
            counted.append(crash)
    return len(counted)


def _is_correlated(crash, other):
    distance_ms = abs(crash.observed_ms - other.observed_ms)
    is_same_domain = crash.failure_domain == other.failure_domain
    return distance_ms < (DOMAIN_LOSS_MS if is_same_domain else COINCIDENCE_MS)
