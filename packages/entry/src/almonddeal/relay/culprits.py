"""Search for the prompt segments that explain a series of engine crashes.

A segment that crashes engines is in a request at each of these crashes, but so are
other segments of that request, and the requests that shared the engine. The search
therefore takes the segment that was present at most of the crashes, leaves out the
engines that it explains, and repeats this with the rest. This module performs no I/O.
"""

MIN_CRASHES = 3
MIN_REQUESTS = 2  # a single request says nothing about its segments one by one
# Crashes at the same moment, or within a failure domain in a short time, count once:
# they have a common cause outside the engines.
COINCIDENCE_MS = 50
DOMAIN_LOSS_MS = 1000


def find_culprits(crashes, is_sound):
    """Return the segments that explain repeated crashes, as a list of sets.

    A set has several segments if they occurred only together; any of them may be the
    cause.

    Parameters
    ----------
    crashes : list of SegmentEvidence
    is_sound : callable
        ``is_sound(prefix_hash, crash)`` tells whether a segment is known not to be the
        cause of a crash.

    Returns
    -------
    culprits : list of frozenset of str
    """
    suspicions = _list_suspicions(crashes, is_sound)
    culprits = []
    while True:
        culprit = _most_frequent(suspicions)
        if culprit is None:
            return culprits
        culprits.append(culprit)
        explained = {engine for engine, hashes, _ in suspicions if culprit <= hashes}
        suspicions = [s for s in suspicions if s[0] not in explained]


def _list_suspicions(crashes, is_sound):
    """Return tuples of engine process, segments that may have crashed it, and crash."""
    suspicions_by_engine = {}
    for crash in crashes:
        hashes = frozenset(h for h in crash.prefix_hashes if not is_sound(h, crash))
        if hashes:
            engine = (crash.target, crash.born_ms)
            suspicions_by_engine.setdefault(engine, []).append((engine, hashes, crash))
    return [
        suspicion
        for suspicions in suspicions_by_engine.values()
        for suspicion in _started_or_all(suspicions)
    ]


def _started_or_all(suspicions):
    """Prefer the requests to which the engine had just started to respond."""
    started = [s for s in suspicions if s[2].has_response]
    return started or suspicions


def _most_frequent(suspicions):
    """Return the segments that were present at most crashes, or None below the limits.

    Segments that were present in exactly the same requests are returned together.
    """
    crashes_by_hash = {}
    for _, hashes, crash in suspicions:
        for prefix_hash in hashes:
            crashes_by_hash.setdefault(prefix_hash, []).append(crash)
    n_by_hash = {
        prefix_hash: _count_independent(crashes)
        for prefix_hash, crashes in crashes_by_hash.items()
        if len({crash.request for crash in crashes}) >= MIN_REQUESTS
    }
    n_crashes = max(n_by_hash.values(), default=0)
    if n_crashes < MIN_CRASHES:
        return None
    # The least one, so that all instances with the same evidence agree.
    found = min(h for h, n in n_by_hash.items() if n == n_crashes)
    keys = {crash.key for crash in crashes_by_hash[found]}
    return frozenset(
        prefix_hash
        for prefix_hash, crashes in crashes_by_hash.items()
        if {crash.key for crash in crashes} == keys
    )


def _count_independent(crashes):
    """Return the number of crashes that have no common cause outside the engines."""
    engines, counted = set(), []
    for crash in sorted(crashes, key=lambda c: (c.observed_ms, c.key)):
        engine = (crash.target, crash.born_ms)
        if engine in engines:
            continue
        engines.add(engine)
        if not any(_is_correlated(crash, other) for other in counted):
            counted.append(crash)
    return len(counted)


def _is_correlated(crash, other):
    distance_ms = abs(crash.observed_ms - other.observed_ms)
    is_same_domain = crash.failure_domain == other.failure_domain
    return distance_ms < (DOMAIN_LOSS_MS if is_same_domain else COINCIDENCE_MS)
