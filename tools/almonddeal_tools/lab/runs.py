"""Parameters of simulated engines, and the runs that they process."""

import math

import anyio

CONNECTION_LOST = object()  # item of an event stream that was reset


class EngineProfile:
    """Speed and capacity of an engine.

    Parameters
    ----------
    step_ms : float
        Base time of one step, in which each decoding run generates one token.
    step_ms_per_run : float
        Time that each decoding run adds to a step.
    prefill_tokens_per_ms : float
        Prefill speed.
    n_prefill_chunk_tokens : int
        Most prompt tokens that are prefilled in one step.
    tokens_per_event : int
    n_slots : int
        Most runs in the batch.
    n_cache_tokens : int
        Size of the KV cache in tokens.
    kv_copy_interval_ms : float
        Time between two updates of the KV cache copy of a run at its backup.
    """

    __slots__ = (
        "kv_copy_interval_ms",
        "n_cache_tokens",
        "n_prefill_chunk_tokens",
        "n_slots",
        "prefill_tokens_per_ms",
        "step_ms",
        "step_ms_per_run",
        "tokens_per_event",
    )

    def __init__(
        self,
        step_ms=4.55,
        step_ms_per_run=0.3,
        prefill_tokens_per_ms=5.0,
        n_prefill_chunk_tokens=64,
        tokens_per_event=6,
        n_slots=64,
        n_cache_tokens=55_000,
        kv_copy_interval_ms=250.0,
    ):
        self.step_ms = step_ms
        self.step_ms_per_run = step_ms_per_run
        self.prefill_tokens_per_ms = prefill_tokens_per_ms
        self.n_prefill_chunk_tokens = n_prefill_chunk_tokens
        self.tokens_per_event = tokens_per_event
        self.n_slots = n_slots
        self.n_cache_tokens = n_cache_tokens
        self.kv_copy_interval_ms = kv_copy_interval_ms


class SimulatedRun:
    """One run at a simulated engine.

    Parameters
    ----------
    request_id : str
    n_prompt_tokens, n_output_tokens : int
    n_delivered_events : int
        Events that the caller already received.
    n_cached_tokens : int
        Tokens that need no prefill, because this engine has them in its KV cache.
    backup_address : str or None
        Engine that receives a copy of the KV cache of the run.
    tokens_per_event : int
    shared_prefix_hashes : tuple of str

    Attributes
    ----------
    events : anyio.abc.ObjectReceiveStream
        Event ids, then None at the end or `CONNECTION_LOST`.
    """

    __slots__ = (
        "_sender",
        "backup_address",
        "events",
        "n_generated_tokens",
        "n_output_tokens",
        "n_prompt_tokens",
        "n_tokens_to_prefill",
        "request_id",
        "shared_prefix_hashes",
    )

    def __init__(
        self,
        request_id,
        n_prompt_tokens,
        n_output_tokens,
        n_delivered_events,
        n_cached_tokens,
        backup_address,
        tokens_per_event,
        shared_prefix_hashes=(),
    ):
        self.request_id = request_id
        self.shared_prefix_hashes = shared_prefix_hashes
        self.n_prompt_tokens = n_prompt_tokens
        self.n_output_tokens = n_output_tokens
        self.n_generated_tokens = n_delivered_events * tokens_per_event
        n_needed_tokens = n_prompt_tokens + self.n_generated_tokens
        self.n_tokens_to_prefill = max(0, n_needed_tokens - n_cached_tokens)
        self.backup_address = backup_address
        self._sender, self.events = anyio.create_memory_object_stream(math.inf)

    @property
    def n_kv_tokens(self):
        """Tokens of the run in the KV cache of the engine."""
        return self.n_prompt_tokens + self.n_generated_tokens - self.n_tokens_to_prefill

    @property
    def is_prefilling(self):
        """Whether tokens of the run are still to be prefilled."""
        return self.n_tokens_to_prefill > 0

    @property
    def is_ended(self):
        """Whether all output tokens were generated."""
        return self.n_generated_tokens >= self.n_output_tokens

    def drop_kv_cache(self):
        """Drop the KV cache of the run; returns the number of tokens dropped."""
        n_dropped_tokens = self.n_kv_tokens
        self.n_tokens_to_prefill = self.n_prompt_tokens + self.n_generated_tokens
        return n_dropped_tokens

    def emit(self, item):
        """Add an event id, `CONNECTION_LOST` or None (the end) to the event stream."""
        self._sender.send_nowait(item)

    def close(self):
        """Close the event stream."""
        self._sender.close()
