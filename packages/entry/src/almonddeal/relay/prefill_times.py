"""Estimates of the prefill times of engines, from the runs that instances report."""

import math

from almonddeal_common.clock import monotonic_ms

SPECIFIED_MS_PER_TOKEN = 0.2  # by the specification of the engines: 5 tokens per ms
DECAY_MS = 10_000.0  # an engine receives a few requests within this time
GAIN = 0.5  # weight of a new sample against earlier ones of the same engine
TYPICAL_GAIN = 0.05  # weight of a new sample in the mean of all engines
OUTLIER_RATIO = 2.0  # slower samples belong to a slow engine; the mean ignores them


class PrefillTimes:
    """Smoothed prefill time per prompt token, by engine process.

    An engine process is identified by a key of target id and start time. Its estimate
    decays towards the mean of all engines, so that a slow engine is tried again.

    Attributes
    ----------
    typical_ms_per_token : float
        Mean of all engines, used for those without recent samples.
    """

    __slots__ = ("_estimate_by_key", "typical_ms_per_token")

    def __init__(self):
        self.typical_ms_per_token = SPECIFIED_MS_PER_TOKEN
        self._estimate_by_key = {}

    def add_sample(self, key, ms_per_token):
        """Add the time per token of one prefill; of an abandoned one, a lower bound."""
        estimate_ms = GAIN * ms_per_token + (1 - GAIN) * self.ms_per_token(key)
        self._estimate_by_key[key] = (estimate_ms, monotonic_ms())
        if ms_per_token < OUTLIER_RATIO * self.typical_ms_per_token:
            difference = ms_per_token - self.typical_ms_per_token
            self.typical_ms_per_token += TYPICAL_GAIN * difference

    def ms_per_token(self, key):
        """Return the estimated prefill time of an engine per token, in ms."""
        if key not in self._estimate_by_key:
            return self.typical_ms_per_token
        estimate_ms, sampled_ms = self._estimate_by_key[key]
        weight = math.exp(-(monotonic_ms() - sampled_ms) / DECAY_MS)
        return weight * estimate_ms + (1 - weight) * self.typical_ms_per_token

    def evict_stale(self):
        """Evict estimates that have decayed to a negligible weight."""
        now_ms = monotonic_ms()
        for key, (_, sampled_ms) in list(self._estimate_by_key.items()):
            if now_ms - sampled_ms > 4 * DECAY_MS:
                del self._estimate_by_key[key]
