"""Stall detection: timeouts on the wait for the next event of an engine."""

FIRST_EVENT_MARGIN_MS = 700.0  # queueing, and prefill interleaved with decoding
FIRST_EVENT_RATIO = 1.6  # concurrent prefills share the engine
RESTART_ELSEWHERE_MS = 500.0  # from sending to the first event, without the prefill
PROBE_RATIO = 1.25  # a probe costs far less than repeating a prefill
PROBE_MARGIN_MS = 150.0
PROBE_INTERVAL_MS = 600.0
# Silence after which a suspected engine is probed: others of its failure domain were
# just lost, or another instance moved a run away from it.
SUSPECT_SILENCE_MS = 50.0
GAP_SHARE = 0.4  # of the longest accepted pause; the rest is for resuming elsewhere
MIN_GAP_TIMEOUT_MS = 220.0  # tokens of one event, a prefill chunk before each


def first_event_timeout_ms(
    n_unread_tokens, n_prompt_tokens, ms_per_token, objective_left_ms
):
    """Return how long the first event may take after the request is sent, in ms.

    The attempt is abandoned at the last moment at which another engine could still meet
    the objective, but not before the prefill should have finished.

    Parameters
    ----------
    n_unread_tokens : int
        Prompt tokens that the engine has yet to prefill, this prompt included.
    n_prompt_tokens : int
        Tokens of this prompt.
    ms_per_token : float
        Typical prefill time per token.
    objective_left_ms : float
        Time left to the first event that callers expect, from now.
    """
    prefill_ms = n_unread_tokens * ms_per_token
    elsewhere_ms = n_prompt_tokens * ms_per_token + RESTART_ELSEWHERE_MS
    max_expected_ms = FIRST_EVENT_RATIO * prefill_ms + FIRST_EVENT_MARGIN_MS
    return max(max_expected_ms, objective_left_ms - elsewhere_ms)


def first_probe_delay_ms(n_unread_tokens, ms_per_token):
    """Return the time in ms without an event after which an engine is first probed."""
    prefill_ms = n_unread_tokens * ms_per_token
    return PROBE_RATIO * prefill_ms + PROBE_MARGIN_MS


def event_gap_timeout_ms(max_gap_ms):
    """Return how long an engine may be silent between two events, in ms.

    Parameters
    ----------
    max_gap_ms : float
        Longest pause that callers accept.
    """
    return max(MIN_GAP_TIMEOUT_MS, GAP_SHARE * max_gap_ms)
