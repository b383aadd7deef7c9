"""How fast engines read prompts, from the runs that all instances report."""

import math

from almonddeal_common.clock import monotonic_ms

PUBLISHED_MS_PER_TOKEN = 0.2  # published speed of the engines: 5 tokens in a ms
DECAY_MS = 10_000.0  # an engine is given a few requests within this time
GAIN = 0.5  # weight of a new reading beside the earlier ones of its engine
USUAL_GAIN = 0.05  # weight of a new reading in what is usual among all engines
UNUSUAL_RATIO = 2.0  # slower readings are those of a slow engine, not usual


class ReadingPace:
    """Time that engines take for a token of a prompt.

    Engines are told apart by key: their id and the start of their process.

    Attributes
    ----------
    usual_ms_per_token : float
        Of engines of which nothing else is known.
    """

    __slots__ = ("_seen_by_key", "usual_ms_per_token")

    def __init__(self):
        self.usual_ms_per_token = PUBLISHED_MS_PER_TOKEN
        self._seen_by_key = {}

    def note(self, key, ms_per_token):
        """Note one reading that ended."""
        seen_ms = GAIN * ms_per_token + (1 - GAIN) * self.ms_per_token(key)
        self._seen_by_key[key] = (seen_ms, monotonic_ms())
        if ms_per_token < UNUSUAL_RATIO * self.usual_ms_per_token:
            difference = ms_per_token - self.usual_ms_per_token
            self.usual_ms_per_token += USUAL_GAIN * difference

    def ms_per_token(self, key):
        """Return the time in ms that an engine is thought to take for a token."""
        if key not in self._seen_by_key:
            return self.usual_ms_per_token
        seen_ms, at_ms = self._seen_by_key[key]
        weight = math.exp(-(monotonic_ms() - at_ms) / DECAY_MS)
        return weight * seen_ms + (1 - weight) * self.usual_ms_per_token

    def evict_stale(self):
        """Drop what has lost its weight."""
        now_ms = monotonic_ms()
        for key, (_, at_ms) in list(self._seen_by_key.items()):
            if now_ms - at_ms > 4 * DECAY_MS:
                del self._seen_by_key[key]
