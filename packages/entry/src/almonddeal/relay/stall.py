"""When a silent engine is given up: limits on the wait for the next event."""

PREFILL_TOKENS_PER_MS = 5.0  # published speed of the engines
FIRST_EVENT_MARGIN_MS = 700.0  # queueing, and reading between tokens of other runs
FIRST_EVENT_SLACK = (
    1.6  # readings of prompts that run at the same time share the engine
)
GAP_SHARE = 0.4  # of the longest pause allowed; the rest is for going on elsewhere
MIN_GAP_MS = 220.0  # an event's tokens, each behind a chunk of another prompt


def first_event_limit_ms(n_unread_tokens):
    """Return how long the first event may take after the send, in ms.

    Parameters
    ----------
    n_unread_tokens : int
        Tokens of prompts that the engine still reads, this one included.
    """
    reading_ms = n_unread_tokens / PREFILL_TOKENS_PER_MS
    return FIRST_EVENT_SLACK * reading_ms + FIRST_EVENT_MARGIN_MS


def gap_limit_ms(max_gap_ms):
    """Return how long an engine may be silent between events, in ms.

    Parameters
    ----------
    max_gap_ms : float
        Longest pause that callers accept.
    """
    return max(MIN_GAP_MS, GAP_SHARE * max_gap_ms)
