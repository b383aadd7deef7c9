"""A model of an engine that generates text, in virtual time.

It batches runs, reads prompts in chunks between the tokens of the others, keeps the
memory of runs and copies of runs elsewhere, and preempts when its memory is full. From
the engines' published behaviour; its figures are parameters.
"""

import math
from collections import OrderedDict

import anyio

MAX_WAITING = 8  # published: an engine queues a few requests beyond its slots
MAX_CACHED_PROMPTS = 64
LOST = object()


class EngineSpeed:
    """Speed and size of an engine.

    Parameters
    ----------
    step_ms : float
        Time of one step, in which each run generates a token.
    run_ms : float
        What one more run adds to a step.
    read_tokens_per_ms : float
        Speed of reading prompts.
    chunk_tokens : int
        Tokens of prompts that are read within one step.
    tokens_per_event : int
    n_slots : int
    n_cache_tokens : int
    copy_interval_ms : float
        Time between two sends of a run's memory to its backup.
    """

    __slots__ = (
        "chunk_tokens",
        "copy_interval_ms",
        "n_cache_tokens",
        "n_slots",
        "read_tokens_per_ms",
        "run_ms",
        "step_ms",
        "tokens_per_event",
    )

    def __init__(
        self,
        step_ms=4.55,
        run_ms=0.3,
        read_tokens_per_ms=5.0,
        chunk_tokens=64,
        tokens_per_event=6,
        n_slots=64,
        n_cache_tokens=55_000,
        copy_interval_ms=250.0,
    ):
        self.step_ms = step_ms
        self.run_ms = run_ms
        self.read_tokens_per_ms = read_tokens_per_ms
        self.chunk_tokens = chunk_tokens
        self.tokens_per_event = tokens_per_event
        self.n_slots = n_slots
        self.n_cache_tokens = n_cache_tokens
        self.copy_interval_ms = copy_interval_ms


class ModelRun:
    """One run at an engine.

    Parameters
    ----------
    request_id : str
    n_prompt_tokens, n_output_tokens : int
    n_done_events : int
        Events that the caller has already.
    n_copied_tokens : int
        Tokens that need not be read, since a copy of them is here.
    backup_address : str or None
    tokens_per_event : int
    """

    __slots__ = (
        "_sender",
        "backup_address",
        "events",
        "n_generated_tokens",
        "n_output_tokens",
        "n_prompt_tokens",
        "n_unread_tokens",
        "request_id",
    )

    def __init__(
        self,
        request_id,
        n_prompt_tokens,
        n_output_tokens,
        n_done_events,
        n_copied_tokens,
        backup_address,
        tokens_per_event,
    ):
        self.request_id = request_id
        self.n_prompt_tokens = n_prompt_tokens
        self.n_output_tokens = n_output_tokens
        self.n_generated_tokens = n_done_events * tokens_per_event
        needed = n_prompt_tokens + self.n_generated_tokens
        self.n_unread_tokens = max(0, needed - n_copied_tokens)
        self.backup_address = backup_address
        self._sender, self.events = anyio.create_memory_object_stream(math.inf)

    @property
    def n_held_tokens(self):
        """Tokens in the engine's memory."""
        return self.n_prompt_tokens + self.n_generated_tokens - self.n_unread_tokens

    @property
    def is_reading(self):
        """Whether its prompt is not read yet."""
        return self.n_unread_tokens > 0

    @property
    def is_ended(self):
        """Whether all its output was generated."""
        return self.n_generated_tokens >= self.n_output_tokens

    def read_again(self):
        """Lose the memory; returns the tokens that have to be read again."""
        lost = self.n_held_tokens
        self.n_unread_tokens = self.n_prompt_tokens + self.n_generated_tokens
        return lost

    def emit(self, item):
        """Send an event number, `LOST`, or None for the end, to the caller's side."""
        self._sender.send_nowait(item)

    def close(self):
        """Close the way to the caller's side."""
        self._sender.close()


class EngineModel:
    """One engine at an address; its processes come and go.

    Parameters
    ----------
    address : str
    domain : str
    speed : EngineSpeed
    peer_by_address : dict of str to EngineModel
        All engines, for copies.

    Attributes
    ----------
    target : str
        Id of its present process.
    is_up, is_dark : bool
        Whether a process runs, and whether it is cut off from everything.
    slowness : float
        How many times as long as usual its steps take.
    n_read_tokens, n_read_again_tokens, n_moved_tokens : int
        Counts over its life.
    """

    def __init__(self, address, domain, speed, peer_by_address):
        self.address = address
        self.domain = domain
        self.speed = speed
        self.target = None
        self.born_ms = 0
        self.is_up = False
        self.is_dark = False
        self.slowness = 1.0
        self.n_read_tokens = 0
        self.n_read_again_tokens = 0
        self.n_moved_tokens = 0
        self.n_preempted = 0
        self._peer_by_address = peer_by_address
        self._runs = []
        self._waiting = []
        self._tokens_by_copy = {}
        self._cached = OrderedDict()
        self._wake = anyio.Event()

    # ---- lives -----------------------------------------------------------------

    def start(self, target, born_ms):
        """Begin a process with an empty memory."""
        self.target = target
        self.born_ms = born_ms
        self.is_up = True
        self.is_dark = False

    def stop(self, is_dark):
        """End the process; callers see it at once, or nothing if it went dark."""
        self.is_up = False
        self.is_dark = is_dark
        if not is_dark:
            for run in [*self._runs, *self._waiting]:
                run.emit(LOST)
        self._runs.clear()
        self._waiting.clear()
        self._tokens_by_copy.clear()
        self._cached.clear()

    # ---- calls -----------------------------------------------------------------

    @property
    def n_used_tokens(self):
        """Tokens in memory that cannot yield."""
        held = sum(run.n_held_tokens for run in self._runs)
        return held + sum(self._tokens_by_copy.values())

    @property
    def n_runs(self):
        """Runs in the batch."""
        return len(self._runs)

    def has_copy(self, copy_id):
        """Tell whether a copy is kept here."""
        return copy_id in self._tokens_by_copy

    def has_cached(self, part):
        """Tell whether a prompt's own part is still in memory."""
        return part in self._cached

    def submit(self, request_id, generation, last_event_id, copy_id, backup_address):
        """Take a request; returns its `ModelRun`, or None if it is not run."""
        n_copied = 0
        if copy_id is not None:
            if copy_id not in self._tokens_by_copy:
                return None
            n_copied = self._tokens_by_copy.pop(copy_id)
        elif self._is_full(generation):
            return None
        elif generation.last_prefix_hash in self._cached:
            n_copied = self._cached.pop(generation.last_prefix_hash)
        run = ModelRun(
            request_id,
            generation.n_prompt_tokens,
            generation.n_output_tokens,
            last_event_id or 0,
            n_copied,
            backup_address,
            self.speed.tokens_per_event,
        )
        if copy_id is not None:
            # Published: admitted first; what its copy lacks is read first, too.
            self._runs.insert(0, run)
        elif self._fits(run):
            self._runs.append(run)
        else:
            self._waiting.append(run)
        self._wake.set()
        return run

    def _is_full(self, generation):
        if generation.n_prompt_tokens > self.speed.n_cache_tokens:
            return True
        return len(self._waiting) >= MAX_WAITING

    def _fits(self, run):
        if len(self._runs) >= self.speed.n_slots:
            return False
        needed = run.n_prompt_tokens + run.n_generated_tokens
        reserved = sum(r.n_held_tokens + r.n_unread_tokens for r in self._runs)
        copies = sum(self._tokens_by_copy.values())
        return reserved + copies + needed <= self.speed.n_cache_tokens

    def leave(self, run, part):
        """Stop a run whose caller's side has gone; its prompt stays cached."""
        for runs in (self._runs, self._waiting):
            if run in runs:
                runs.remove(run)
                self._cache(part, run.n_held_tokens)
        run.close()

    def _cache(self, part, n_tokens):
        self._cached[part] = n_tokens
        if len(self._cached) > MAX_CACHED_PROMPTS:
            self._cached.popitem(last=False)

    def keep_copy(self, copy_id, n_tokens):
        """Take the newest part of a run's memory; returns the tokens that were new."""
        if not self.is_up:
            return 0
        known = self._tokens_by_copy.get(copy_id, 0)
        free = self.speed.n_cache_tokens - self.n_used_tokens
        if n_tokens - known > free:
            return 0
        self._tokens_by_copy[copy_id] = n_tokens
        return n_tokens - known

    def drop_copy(self, copy_id):
        """Free a copy."""
        self._tokens_by_copy.pop(copy_id, None)

    def send_kv_copy(self, request_id, address):
        """Copy a run's memory to another engine now; returns whether there is one."""
        run = next((r for r in self._runs if r.request_id == request_id), None)
        if run is None or not run.n_held_tokens:
            return False
        peer = self._peer_by_address[address]
        self.n_moved_tokens += peer.keep_copy(request_id, run.n_held_tokens)
        return peer.has_copy(request_id)

    # ---- work ------------------------------------------------------------------

    async def run(self):
        """Work until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._step_for_ever)
            group.start_soon(self._copy_for_ever)

    async def _step_for_ever(self):
        while True:
            self._admit()
            if not self._runs:
                self._wake = anyio.Event()
                await self._wake.wait()
                continue
            target = self.target
            reading = next((r for r in self._runs if r.is_reading), None)
            generating = [r for r in self._runs if not r.is_reading]
            n_read = 0
            if reading is not None:
                n_read = min(self.speed.chunk_tokens, reading.n_unread_tokens)
            step_ms = self.speed.step_ms + self.speed.run_ms * len(generating)
            step_ms += n_read / self.speed.read_tokens_per_ms
            await anyio.sleep(step_ms * self.slowness / 1000)
            if self.target == target and self.is_up:
                self._finish_step(reading, n_read, generating)

    def _admit(self):
        while self._waiting and self._fits(self._waiting[0]):
            self._runs.append(self._waiting.pop(0))

    def _finish_step(self, reading, n_read, generating):
        if reading in self._runs:
            reading.n_unread_tokens -= n_read
            self.n_read_tokens += n_read
        for run in generating:
            if run in self._runs:
                self._generate(run)
        if self.n_used_tokens > self.speed.n_cache_tokens:
            self._preempt()

    def _generate(self, run):
        run.n_generated_tokens += 1
        if run.n_generated_tokens % self.speed.tokens_per_event and not run.is_ended:
            return
        number = math.ceil(run.n_generated_tokens / self.speed.tokens_per_event)
        run.emit(number)
        if run.is_ended:
            run.emit(None)
            self._runs.remove(run)
            if run.backup_address is not None:
                self._peer_by_address[run.backup_address].drop_copy(run.request_id)

    def _preempt(self):
        run = self._runs.pop()
        self.n_read_again_tokens += run.read_again()
        self.n_preempted += 1
        self._waiting.insert(0, run)

    async def _copy_for_ever(self):
        while True:
            await anyio.sleep(self.speed.copy_interval_ms / 1000)
            for run in self._runs:
                if run.backup_address is not None and run.n_held_tokens:
                    peer = self._peer_by_address[run.backup_address]
                    self.n_moved_tokens += peer.keep_copy(
                        run.request_id, run.n_held_tokens
                    )
