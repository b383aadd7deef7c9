"""Stall timeout of a token stream: how long an engine may send no token.

The timeout follows the load that the engine reports. The gap between tokens grows with
the batch, and the first token waits for the queue ahead of it. A temporary delay, such
as the prefill of another request, adds to the gap rather than multiplying it, so the
timeout is the expected gap plus a fixed margin.
"""

from almonddeal_common.clock import monotonic_ms

DECODE_MARGIN_MS = 600.0
DECODE_TIMEOUT_MAX_MS = 2000.0
FIRST_TOKEN_TIMEOUT_MIN_MS = 2000.0
FIRST_TOKEN_TIMEOUT_MAX_MS = 20_000.0
QUEUE_FACTOR = 4.0
GAP_WEIGHT = 0.2  # of the latest gap in the moving average


class StallDetector:
    """Detects whether one stream stalls.

    Parameters
    ----------
    get_load : callable
        Returns the latest `Load` of the engine.
    """

    __slots__ = ("_gap_ms", "_get_load", "_last_token_ms", "_n_tokens")

    def __init__(self, get_load):
        self._get_load = get_load
        self._gap_ms = 0.0
        self._n_tokens = 0
        self._last_token_ms = monotonic_ms()

    def record_tokens(self, n_tokens, now_ms):
        """Record that `n_tokens` arrived at `now_ms`, in monotonic time."""
        if self._n_tokens:
            gap_ms = (now_ms - self._last_token_ms) / n_tokens
            self._gap_ms += GAP_WEIGHT * (gap_ms - self._gap_ms)
        self._n_tokens += n_tokens
        self._last_token_ms = now_ms

    def exclude_pause(self, pause_ms, now_ms):
        """Exclude a pause of this process from the time without tokens."""
        self._last_token_ms = min(self._last_token_ms + pause_ms, now_ms)

    def is_stalled(self, now_ms):
        """Whether no token has arrived for longer than the stall timeout."""
        return now_ms - self._last_token_ms > self.timeout_ms

    @property
    def timeout_ms(self):
        """Time without tokens, in ms, after which the stream counts as stalled."""
        load = self._get_load()
        if self._n_tokens == 0:
            waiting_ms = load.token_ms * (1 + load.n_waiting) * QUEUE_FACTOR
            timeout_ms = FIRST_TOKEN_TIMEOUT_MIN_MS + waiting_ms
            return min(timeout_ms, FIRST_TOKEN_TIMEOUT_MAX_MS)
        expected_ms = max(load.token_ms, self._gap_ms)
        return min(expected_ms + DECODE_MARGIN_MS, DECODE_TIMEOUT_MAX_MS)
