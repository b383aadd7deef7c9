"""Simulated inference engine with continuous batching, in virtual time.

The engine batches runs, interleaves chunked prefill with decoding, copies the KV cache
of runs to backup engines, and preempts runs when its KV cache is full. This follows the
published behaviour of engines; speeds and sizes are parameters.
"""

import math
from collections import OrderedDict

import anyio

from almonddeal_tools.lab.runs import CONNECTION_LOST, SimulatedRun

MAX_WAITING_RUNS = 8  # published: engines queue a few requests beyond their slots
MAX_CACHED_PREFIXES = 64


class SimulatedEngine:
    """Engine at one address, where processes start and stop.

    Parameters
    ----------
    address : str
    failure_domain : str
    profile : EngineProfile
    engine_by_address : dict of str to SimulatedEngine
        All engines, for KV cache copies.

    Attributes
    ----------
    target : str
        Id of the current process, or of the last one while none is up.
    born_ms : int
        Start time of that process.
    is_up : bool
        Whether a process runs.
    is_partitioned : bool
        Whether connection attempts time out, rather than being refused, while no
        process is up.
    slowdown : float
        Factor on the time of each step.
    n_prefilled_tokens : int
    n_recomputed_tokens : int
        Tokens dropped by preemption, which have to be prefilled again.
    n_replicated_tokens : int
        Tokens of KV cache sent to other engines.
    n_preemptions : int
        Like the other counts, over all processes at the address.
    """

    def __init__(self, address, failure_domain, profile, engine_by_address):
        self.address = address
        self.failure_domain = failure_domain
        self.profile = profile
        self.target = None
        self.born_ms = 0
        self.is_up = False
        self.is_partitioned = False
        self.slowdown = 1.0
        self.crashing_prefix_hash = None
        self.crash = None
        self.n_prefilled_tokens = 0
        self.n_recomputed_tokens = 0
        self.n_replicated_tokens = 0
        self.n_preemptions = 0
        self._engine_by_address = engine_by_address
        self._runs = []
        self._waiting = []
        self._n_tokens_by_copy_id = {}
        self._n_tokens_by_prefix_hash = OrderedDict()
        self._work_available = anyio.Event()
        self._silent_until_s = 0.0

    def start(self, target, born_ms):
        """Start a process."""
        self.target = target
        self.born_ms = born_ms
        self.is_up = True
        self.is_partitioned = False

    def stop(self, is_partitioned):
        """Stop the process and drop its KV cache.

        Parameters
        ----------
        is_partitioned : bool
            If true, open event streams stall and connection attempts time out; if
            false, open streams are reset and connections are refused.
        """
        self.is_up = False
        self.is_partitioned = is_partitioned
        if not is_partitioned:
            for run in [*self._runs, *self._waiting]:
                run.emit(CONNECTION_LOST)
        self._runs.clear()
        self._waiting.clear()
        self._n_tokens_by_copy_id.clear()
        self._n_tokens_by_prefix_hash.clear()

    def fall_silent(self, duration_s):
        """Stop all work for a time; the process, its runs and connections stay."""
        self._silent_until_s = anyio.current_time() + duration_s

    async def wait_until_heard(self):
        """Wait for as long as the engine is silent."""
        while anyio.current_time() < self._silent_until_s:
            await anyio.sleep_until(self._silent_until_s)

    @property
    def n_used_tokens(self):
        """KV cache tokens of runs and copies, without evictable cached prefixes."""
        n_run_tokens = sum(run.n_kv_tokens for run in self._runs)
        return n_run_tokens + sum(self._n_tokens_by_copy_id.values())

    @property
    def n_runs(self):
        """Number of runs in the batch."""
        return len(self._runs)

    def has_kv_copy(self, copy_id):
        """Tell whether the engine stores a copy of the KV cache of a run."""
        return copy_id in self._n_tokens_by_copy_id

    def has_cached_prefix(self, prefix_hash):
        """Tell whether the KV cache of a prompt prefix is still stored."""
        return prefix_hash in self._n_tokens_by_prefix_hash

    def submit(self, request_id, generation, last_event_id, copy_id, backup_address):
        """Accept a request and start or queue its run.

        Parameters
        ----------
        request_id : str
        generation : Generation
        last_event_id : int or None
            Event after which the run resumes.
        copy_id : str or None
            KV cache copy at this engine that the run resumes from.
        backup_address : str or None

        Returns
        -------
        run : SimulatedRun or None
            None if the copy is missing, the queue is full or the prompt is larger than
            the KV cache.
        """
        n_cached_tokens = 0
        if copy_id is not None:
            if copy_id not in self._n_tokens_by_copy_id:
                return None
            n_cached_tokens = self._n_tokens_by_copy_id.pop(copy_id)
        elif self._is_full(generation):
            return None
        elif generation.last_prefix_hash in self._n_tokens_by_prefix_hash:
            n_cached_tokens = self._n_tokens_by_prefix_hash.pop(
                generation.last_prefix_hash
            )
        run = SimulatedRun(
            request_id,
            generation.n_prompt_tokens,
            generation.n_output_tokens,
            last_event_id or 0,
            n_cached_tokens,
            backup_address,
            self.profile.tokens_per_event,
            generation.shared_prefix_hashes,
        )
        if copy_id is not None:
            # Published behaviour: a resumed run is admitted ahead of the queue, and the
            # tokens that its copy lacks are prefilled ahead of other prompts.
            self._runs.insert(0, run)
        elif self._fits(run):
            self._runs.append(run)
        else:
            self._waiting.append(run)
        self._work_available.set()
        return run

    def _is_full(self, generation):
        if generation.n_prompt_tokens > self.profile.n_cache_tokens:
            return True
        return len(self._waiting) >= MAX_WAITING_RUNS

    def _fits(self, run):
        if len(self._runs) >= self.profile.n_slots:
            return False
        n_needed_tokens = run.n_prompt_tokens + run.n_generated_tokens
        n_reserved_tokens = sum(
            r.n_kv_tokens + r.n_tokens_to_prefill for r in self._runs
        )
        n_copy_tokens = sum(self._n_tokens_by_copy_id.values())
        return (
            n_reserved_tokens + n_copy_tokens + n_needed_tokens
            <= self.profile.n_cache_tokens
        )

    def release_run(self, run, prefix_hash):
        """Close the stream of a run; if unfinished, cancel it and cache its prefix."""
        for runs in (self._runs, self._waiting):
            if run in runs:
                runs.remove(run)
                self._cache_prefix(prefix_hash, run.n_kv_tokens)
        run.close()

    def _cache_prefix(self, prefix_hash, n_tokens):
        self._n_tokens_by_prefix_hash[prefix_hash] = n_tokens
        if len(self._n_tokens_by_prefix_hash) > MAX_CACHED_PREFIXES:
            self._n_tokens_by_prefix_hash.popitem(last=False)

    def store_kv_copy(self, copy_id, n_tokens):
        """Store or extend the copy of the KV cache of a run of another engine.

        Parameters
        ----------
        copy_id : str
        n_tokens : int
            Size of the copy with the new tokens.

        Returns
        -------
        n_new_tokens : int
            Tokens added to the copy; 0 if no process is up or they do not fit.
        """
        if not self.is_up:
            return 0
        n_stored_tokens = self._n_tokens_by_copy_id.get(copy_id, 0)
        n_free_tokens = self.profile.n_cache_tokens - self.n_used_tokens
        if n_tokens - n_stored_tokens > n_free_tokens:
            return 0
        self._n_tokens_by_copy_id[copy_id] = n_tokens
        return n_tokens - n_stored_tokens

    def free_kv_copy(self, copy_id):
        """Free a KV cache copy, if the engine stores it."""
        self._n_tokens_by_copy_id.pop(copy_id, None)

    def send_kv_copy(self, request_id, address):
        """Copy the KV cache of a run to another engine; returns whether it has one."""
        run = next((r for r in self._runs if r.request_id == request_id), None)
        if run is None or not run.n_kv_tokens:
            return False
        peer = self._engine_by_address[address]
        self.n_replicated_tokens += peer.store_kv_copy(request_id, run.n_kv_tokens)
        return peer.has_kv_copy(request_id)

    async def run(self):
        """Process steps and update KV cache copies until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._process_steps)
            group.start_soon(self._update_copies_periodically)

    async def _process_steps(self):
        while True:
            await self.wait_until_heard()
            self._admit_waiting()
            if not self._runs:
                self._work_available = anyio.Event()
                await self._work_available.wait()
                continue
            target = self.target
            prefilling = next((r for r in self._runs if r.is_prefilling), None)
            decoding = [r for r in self._runs if not r.is_prefilling]
            n_prefilled = 0
            if prefilling is not None:
                n_prefilled = min(
                    self.profile.n_prefill_chunk_tokens, prefilling.n_tokens_to_prefill
                )
            step_ms = self.profile.step_ms + self.profile.step_ms_per_run * len(
                decoding
            )
            step_ms += n_prefilled / self.profile.prefill_tokens_per_ms
            await anyio.sleep(step_ms * self.slowdown / 1000)
            await self.wait_until_heard()
            if self.target == target and self.is_up:
                self._finish_step(prefilling, n_prefilled, decoding)

    def _admit_waiting(self):
        while self._waiting and self._fits(self._waiting[0]):
            self._runs.append(self._waiting.pop(0))

    def _finish_step(self, prefilling, n_prefilled, decoding):
        if prefilling in self._runs:
            prefilling.n_tokens_to_prefill -= n_prefilled
            self.n_prefilled_tokens += n_prefilled
        for run in decoding:
            if run in self._runs:
                self._generate_token(run)
        if self.n_used_tokens > self.profile.n_cache_tokens:
            self._preempt_newest()

    def _generate_token(self, run):
        if self.crashing_prefix_hash in run.shared_prefix_hashes:
            self.crash(self)
            return
        run.n_generated_tokens += 1
        if run.n_generated_tokens % self.profile.tokens_per_event and not run.is_ended:
            return
        event_id = math.ceil(run.n_generated_tokens / self.profile.tokens_per_event)
        run.emit(event_id)
        if run.is_ended:
            run.emit(None)
            self._runs.remove(run)
            if run.backup_address is not None:
                self._engine_by_address[run.backup_address].free_kv_copy(run.request_id)

    def _preempt_newest(self):
        run = self._runs.pop()
        self.n_recomputed_tokens += run.drop_kv_cache()
        self.n_preemptions += 1
        self._waiting.insert(0, run)

    async def _update_copies_periodically(self):
        while True:
            await anyio.sleep(self.profile.kv_copy_interval_ms / 1000)
            for run in self._runs:
                if run.backup_address is not None and run.n_kv_tokens:
                    peer = self._engine_by_address[run.backup_address]
                    self.n_replicated_tokens += peer.store_kv_copy(
                        run.request_id, run.n_kv_tokens
                    )
