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
# Shares of the longest accepted pause between events. After the first one, the engine
# is probed; after the second one, a stream is abandoned whose engine responds to probes
# and has no prompt to prefill; the rest is for resuming elsewhere.
PROBE_GAP_SHARE = 0.3
STALL_GAP_SHARE = 0.8
MIN_PROBE_GAP_MS = 150.0  # tokens of one event, a prefill chunk before each
MIN_VERDICT_MS = 100.0  # from the first probe to giving up an engine that responds
# The prefill of other prompts delays the tokens of a sound engine. The pause is late
# then, but resuming elsewhere would cost a prefill and delay others in turn.
PREFILL_GAP_RATIO = 2.0
PROBE_REPEAT_MS = 300.0
# Interval at which a stream that cannot leave a silent engine looks for another one.
RECHECK_MS = 100.0


class FirstEventTimer:
    """Deadline for the first event of an attempt.

    Parameters
    ----------
    deadline : float
        In seconds of the event loop's clock; infinite if there is none.
    """

    __slots__ = ("deadline",)

    def __init__(self, deadline):
        self.deadline = deadline


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


def probe_gap_ms(max_gap_ms):
    """Return how long an engine may be silent between two events before it is probed.

    Parameters
    ----------
    max_gap_ms : float
        Longest pause that callers accept.

    Returns
    -------
    gap_ms : float
    """
    return max(MIN_PROBE_GAP_MS, PROBE_GAP_SHARE * max_gap_ms)


def stall_gap_ms(max_gap_ms, n_unread_tokens):
    """Return how long an engine that responds to probes may be silent, in ms.

    Parameters
    ----------
    max_gap_ms : float
        Longest pause that callers accept.
    n_unread_tokens : int
        Prompt tokens that the engine has yet to prefill for other requests.
    """
    if n_unread_tokens:
        return PREFILL_GAP_RATIO * max_gap_ms
    return max(STALL_GAP_SHARE * max_gap_ms, probe_gap_ms(max_gap_ms) + MIN_VERDICT_MS)
