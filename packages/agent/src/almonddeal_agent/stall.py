"""How long an engine may stay silent before its stream counts as stalled.

The limit follows the load that the engine reports: the gap between tokens grows with
the batch, and a first token waits for the queue in front of it. What holds a stream up
for a moment, such as the prefill of another request, adds to the gap and does not
multiply it, so the limit is a margin after the expected gap.
"""

from almonddeal_common.clock import monotonic_ms

DECODE_MARGIN_MS = 600.0
DECODE_MAX_MS = 2000.0
FIRST_TOKEN_MIN_MS = 2000.0
FIRST_TOKEN_MAX_MS = 20_000.0
QUEUE_FACTOR = 4.0
GAP_WEIGHT = 0.2


class StallLimit:
    """The limit of silence for one stream.

    Parameters
    ----------
    load_of : callable
        Returns the newest `Load` of the engine.
    """

    __slots__ = ("_gap_ms", "_heard_ms", "_load_of", "_n_tokens")

    def __init__(self, load_of):
        self._load_of = load_of
        self._gap_ms = 0.0
        self._n_tokens = 0
        self._heard_ms = monotonic_ms()

    def note_tokens(self, n_tokens, now_ms):
        """Take note of tokens that came at a time of the monotonic clock."""
        if self._n_tokens:
            gap_ms = (now_ms - self._heard_ms) / n_tokens
            self._gap_ms += GAP_WEIGHT * (gap_ms - self._gap_ms)
        self._n_tokens += n_tokens
        self._heard_ms = now_ms

    def is_over(self, now_ms):
        """Tell whether the stream was silent for longer than the limit."""
        return now_ms - self._heard_ms > self.limit_ms

    @property
    def limit_ms(self):
        """Silence in ms after which the stream counts as stalled."""
        load = self._load_of()
        if self._n_tokens == 0:
            waiting_ms = load.token_ms * (1 + load.n_waiting) * QUEUE_FACTOR
            limit_ms = FIRST_TOKEN_MIN_MS + waiting_ms
            return min(limit_ms, FIRST_TOKEN_MAX_MS)
        expected_ms = max(load.token_ms, self._gap_ms)
        return min(expected_ms + DECODE_MARGIN_MS, DECODE_MAX_MS)
