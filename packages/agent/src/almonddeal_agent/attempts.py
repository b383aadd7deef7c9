"""Attempts: one numbered engine stream each, relayed to the owner of the answer."""

from contextlib import contextmanager

import anyio

from almonddeal_agent.cache import CacheView
from almonddeal_agent.stall import StallLimit
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    ATTEMPT_LOST,
    TARGET_HANDOVER,
    TARGET_REFUSED,
    TARGET_STALLED,
    AlmonddealError,
)
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.gen.ttypes import AttemptChunk, AttemptEnd

STALL_CHECK_S = 0.1

log = get_logger("attempts")


class AttemptRunner:
    """Runs attempts on the engine beside this agent.

    Parameters
    ----------
    engine : EngineInterface
    watch : EngineWatch
        Says whether the engine answers, and its load.
    admission : Admission
    """

    def __init__(self, engine, watch, admission):
        self._engine = engine
        self._watch = watch
        self._admission = admission
        self._handover = anyio.Event()
        self._scope_by_limit = {}
        self.n_stalled = 0
        self.n_started = 0

    def hand_over(self):
        """Give all running attempts back to their owners, which go on elsewhere."""
        self._handover.set()

    async def handle_start(self, link, start, emit):
        """Run one attempt and send its tokens; the link handler of `StartAttempt`."""
        with self._admission.admitted():
            self._watch.check_serves(start.spec.model, start.spec.version)
            self.n_started += 1
            return await self._relay(start, emit)

    async def _relay(self, start, emit):
        outcome = AlmonddealError(ATTEMPT_LOST, "ended without a reason")
        reply = None

        async def pump(scope):
            nonlocal outcome, reply
            try:
                reply = await self._pump(start, emit)
            except AlmonddealError as error:
                outcome = error
            scope.cancel()

        async def give_back(scope):
            nonlocal outcome
            await self._handover.wait()
            outcome = AlmonddealError(TARGET_HANDOVER, "the agent is stopping")
            scope.cancel()

        async def watch_engine(scope):
            nonlocal outcome
            await self._watch.lost.wait()
            outcome = AlmonddealError(ATTEMPT_LOST, "the engine does not answer")
            scope.cancel()

        async with anyio.create_task_group() as group:
            for task in (pump, give_back, watch_engine):
                group.start_soon(task, group.cancel_scope)
        if reply is None:
            raise outcome
        return reply

    async def _pump(self, start, emit):
        limit = StallLimit(lambda: self._watch.load)
        next_index = len(start.prefix)
        stream = self._engine.generate(start)
        try:
            with anyio.CancelScope() as scope, self._watched(limit, scope):
                async for tokens in stream:
                    limit.note_tokens(len(tokens), monotonic_ms())
                    chunk = self._make_chunk(start.attempt, next_index, tokens)
                    next_index += len(chunk.tokens)
                    if chunk.tokens:
                        emit(chunk)
                    if tokens[-1].finish_reason:
                        return AttemptEnd(start.attempt, tokens[-1].finish_reason)
            self.n_stalled += 1
            detail = f"silent for {limit.limit_ms:.0f} ms"
            raise AlmonddealError(TARGET_STALLED, detail)
        except BaseException:
            await self._engine.cancel(start)
            raise
        finally:
            with anyio.CancelScope(shield=True):
                await stream.aclose()

    @contextmanager
    def _watched(self, limit, scope):
        """Have the stream cancelled in the context once it is silent for too long."""
        self._scope_by_limit[limit] = scope
        try:
            yield
        finally:
            del self._scope_by_limit[limit]

    async def watch_stalls(self):
        """Cancel streams that stay silent for too long, until cancelled."""
        while True:
            await anyio.sleep(STALL_CHECK_S)
            now_ms = monotonic_ms()
            for limit, scope in list(self._scope_by_limit.items()):
                if limit.is_over(now_ms):
                    scope.cancel()

    @staticmethod
    def _make_chunk(attempt, next_index, tokens):
        content = [t for t in tokens if not t.finish_reason]
        for offset, token in enumerate(content):
            if token.index != next_index + offset:
                detail = f"token {token.index} where {next_index + offset} belongs"
                raise AlmonddealError(ATTEMPT_LOST, detail)
        return AttemptChunk(
            attempt, next_index, [t.token for t in content], [t.text for t in content]
        )


class EngineWatch:
    """Asks the engine for its report at intervals and notices when it is gone.

    Parameters
    ----------
    engine : EngineInterface
    empty_load : Load
        Load of an engine that does not answer.
    is_busy : callable
        Tells whether anything runs; an idle engine is asked less often.

    Attributes
    ----------
    lost : anyio.Event
        Set while the engine does not answer; replaced once it does again.
    load : Load
    models : list of ModelState
        Empty while the engine does not answer.
    role : str
    cache : CacheView
    """

    INTERVAL_S = 0.25
    IDLE_INTERVAL_S = 1.0
    EVENTS_EVERY = 4
    MAX_FAILURES = 3

    def __init__(self, engine, empty_load, is_busy):
        self._is_busy = is_busy
        self._engine = engine
        self._empty_load = empty_load
        self._heard_ms = monotonic_ms()
        self.lost = anyio.Event()
        self.load = empty_load
        self.models = []
        self.role = ""
        self.cache = CacheView()

    def check_serves(self, model, version):
        """Refuse an attempt for a version that the engine has not loaded."""
        loaded = any(m.model == model and m.version == version for m in self.models)
        if not loaded:
            raise AlmonddealError(TARGET_REFUSED, f"{model} {version} is not loaded")

    async def run(self):
        """Watch until cancelled."""
        n_failures = 0
        n_reports = 0
        events = []
        while True:
            try:
                report = await self._engine.report()
                if n_reports % self.EVENTS_EVERY == 0:
                    events = await self._engine.cache_events(self.cache.since)
                n_reports += 1
            except Exception as error:
                n_failures += 1
                self._note_failure(n_failures, error)
            else:
                n_failures = 0
                self._note_report(report)
                self.cache.take(events)
            is_busy = self._is_busy()
            await anyio.sleep(self.INTERVAL_S if is_busy else self.IDLE_INTERVAL_S)

    def _note_report(self, report):
        if self.lost.is_set():
            self.lost = anyio.Event()
        if not self.models and report.models:
            log.info("engine answers with %d versions", len(report.models))
        self._heard_ms = monotonic_ms()
        report.load.age_ms = report.load.age_ms or 0
        self.load = report.load
        self.models = report.models
        self.role = report.role

    def _note_failure(self, n_failures, error):
        is_refused = "ConnectError" in type(error).__name__
        if is_refused or n_failures >= self.MAX_FAILURES:
            if not self.lost.is_set():
                log.warning("engine does not answer, %r", error)
                self.lost.set()
            self.models = []
            self.load = self._empty_load
