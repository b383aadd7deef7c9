"""When a silent engine is given up: limits on the wait for the next event."""

FIRST_EVENT_MARGIN_MS = 700.0  # queueing, and reading between tokens of other runs
FIRST_EVENT_SLACK = 1.6  # prompts that are read at the same time share the engine
BEGIN_ELSEWHERE_MS = 500.0  # from a send to the first event, without reading
PROBE_SLACK = 1.25  # a probe costs far less than reading a prompt again
PROBE_MARGIN_MS = 150.0
PROBE_INTERVAL_MS = 600.0
SUSPECT_SILENCE_MS = 50.0  # of an engine whose neighbours were lost just now
GAP_SHARE = 0.4  # of the longest pause allowed; the rest is for going on elsewhere
MIN_GAP_MS = 220.0  # an event's tokens, each behind a chunk of another prompt


def first_event_limit_ms(n_unread_tokens, n_prompt_tokens, ms_per_token, objective_ms):
    """Return how long the first event may take after the send, in ms.

    An engine is given up when another one could still keep the objective, and not
    before its reading must have ended.

    Parameters
    ----------
    n_unread_tokens : int
        Tokens of prompts that the engine still reads, this one included.
    n_prompt_tokens : int
        Tokens of this prompt.
    ms_per_token : float
        Usual time for a token of a prompt.
    objective_ms : float
        Time to the first event that callers expect, from now.
    """
    reading_ms = n_unread_tokens * ms_per_token
    elsewhere_ms = n_prompt_tokens * ms_per_token + BEGIN_ELSEWHERE_MS
    usual_ms = FIRST_EVENT_SLACK * reading_ms + FIRST_EVENT_MARGIN_MS
    return max(usual_ms, objective_ms - elsewhere_ms)


def first_probe_ms(n_unread_tokens, ms_per_token):
    """Return after how long without an event an engine is asked for a sign of life."""
    reading_ms = n_unread_tokens * ms_per_token
    return PROBE_SLACK * reading_ms + PROBE_MARGIN_MS


def gap_limit_ms(max_gap_ms):
    """Return how long an engine may be silent between events, in ms.

    Parameters
    ----------
    max_gap_ms : float
        Longest pause that callers accept.
    """
    return max(MIN_GAP_MS, GAP_SHARE * max_gap_ms)
