"""Attempts: each runs a generation on the engine and relays its tokens to the owner."""

from contextlib import contextmanager

import anyio

from almonddeal_agent.cache import CacheView
from almonddeal_agent.stall import StallDetector
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    ATTEMPT_LOST,
    TARGET_HANDOVER,
    TARGET_REFUSED,
    TARGET_STALLED,
    AlmonddealError,
)
from almonddeal_common.logs import get_logger
from almonddeal_common.pauses import PauseDetector
from almonddeal_common.wire.gen.ttypes import AttemptChunk, AttemptEnd

STALL_CHECK_S = 0.1

log = get_logger("attempts")


class AttemptRunner:
    """Runs attempts on the engine of this agent.

    Parameters
    ----------
    engine : EngineInterface
    monitor : EngineMonitor
        Reports availability and load of the engine.
    admission : Admission

    Attributes
    ----------
    n_started, n_stalled : int
        Number of attempts started, and number of those that stalled.
    """

    def __init__(self, engine, monitor, admission):
        self._engine = engine
        self._monitor = monitor
        self._admission = admission
        self._handover = anyio.Event()
        self._scope_by_detector = {}
        self.n_stalled = 0
        self.n_started = 0

    def hand_over(self):
        """End all running attempts; their owners resume them on other targets."""
        self._handover.set()

    async def handle_start(self, link, start, emit):
        """Run an attempt and relay its tokens; the link handler of `StartAttempt`."""
        with self._admission.admit():
            self._monitor.check_loaded(start.spec.model, start.spec.version)
            self.n_started += 1
            return await self._run_attempt(start, emit)

    async def _run_attempt(self, start, emit):
        end_error = AlmonddealError(ATTEMPT_LOST, "ended without a reason")
        reply = None

        async def relay_tokens(scope):
            nonlocal end_error, reply
            try:
                reply = await self._relay_tokens(start, emit)
            except AlmonddealError as error:
                end_error = error
            scope.cancel()

        async def wait_handover(scope):
            nonlocal end_error
            await self._handover.wait()
            end_error = AlmonddealError(TARGET_HANDOVER, "the agent is stopping")
            scope.cancel()

        async def wait_unavailable(scope):
            nonlocal end_error
            await self._monitor.unavailable.wait()
            end_error = AlmonddealError(ATTEMPT_LOST, "the engine does not answer")
            scope.cancel()

        async with anyio.create_task_group() as group:
            for task in (relay_tokens, wait_handover, wait_unavailable):
                group.start_soon(task, group.cancel_scope)
        if reply is None:
            raise end_error
        return reply

    async def _relay_tokens(self, start, emit):
        stall_detector = StallDetector(lambda: self._monitor.load)
        next_index = len(start.prefix)
        stream = self._engine.generate(start)
        try:
            with (
                anyio.CancelScope() as scope,
                self._cancelled_if_stalled(stall_detector, scope),
            ):
                async for tokens in stream:
                    stall_detector.record_tokens(len(tokens), monotonic_ms())
                    chunk = self._make_chunk(start.attempt, next_index, tokens)
                    next_index += len(chunk.tokens)
                    if chunk.tokens:
                        emit(chunk)
                    if tokens[-1].finish_reason:
                        return AttemptEnd(start.attempt, tokens[-1].finish_reason)
            self.n_stalled += 1
            detail = f"silent for {stall_detector.timeout_ms:.0f} ms"
            raise AlmonddealError(TARGET_STALLED, detail)
        except BaseException:
            await self._engine.cancel(start)
            raise
        finally:
            with anyio.CancelScope(shield=True):
                await stream.aclose()

    @contextmanager
    def _cancelled_if_stalled(self, stall_detector, scope):
        """Have `cancel_stalled_periodically` cancel `scope` if the stream stalls."""
        self._scope_by_detector[stall_detector] = scope
        try:
            yield
        finally:
            del self._scope_by_detector[stall_detector]

    async def cancel_stalled_periodically(self):
        """Cancel stalled streams, until cancelled itself."""
        pauses = PauseDetector()
        while True:
            pause_ms = await pauses.sleep(STALL_CHECK_S)
            now_ms = monotonic_ms()
            for stall_detector, scope in list(self._scope_by_detector.items()):
                stall_detector.exclude_pause(pause_ms, now_ms)
                if stall_detector.is_stalled(now_ms):
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


class EngineMonitor:
    """Polls the engine's report and cache events, and detects when it is unavailable.

    A `ConnectError` counts as unavailable at once, other errors after
    `MAX_FAILURES` in a row.

    Parameters
    ----------
    engine : EngineInterface
    empty_load : Load
        Load to report while the engine is unavailable.
    is_busy : callable
        Returns whether work is in flight; an idle engine is polled less often.

    Attributes
    ----------
    unavailable : anyio.Event
        Set while the engine is unavailable; replaced by a new event when it is back.
    load : Load
        Load in the latest report.
    models : list of ModelState
        Versions loaded; empty while the engine is unavailable.
    role : str
        Role in the latest report.
    cache : CacheView
        State of the engine's prefix cache.
    """

    INTERVAL_S = 0.25
    IDLE_INTERVAL_S = 1.0
    REPORTS_PER_EVENT_POLL = 4
    MAX_FAILURES = 3

    def __init__(self, engine, empty_load, is_busy):
        self._is_busy = is_busy
        self._engine = engine
        self._empty_load = empty_load
        self._last_report_ms = monotonic_ms()
        self.unavailable = anyio.Event()
        self.load = empty_load
        self.models = []
        self.role = ""
        self.cache = CacheView()

    def check_loaded(self, model, version):
        """Raise `TARGET_REFUSED` unless the engine has loaded the version."""
        loaded = any(m.model == model and m.version == version for m in self.models)
        if not loaded:
            raise AlmonddealError(TARGET_REFUSED, f"{model} {version} is not loaded")

    async def run(self):
        """Poll the engine until cancelled."""
        n_failures = 0
        n_reports = 0
        events = []
        while True:
            try:
                report = await self._engine.report()
                if n_reports % self.REPORTS_PER_EVENT_POLL == 0:
                    events = await self._engine.cache_events(
                        self.cache.next_event_number
                    )
                n_reports += 1
            except Exception as error:
                n_failures += 1
                self._record_failure(n_failures, error)
            else:
                n_failures = 0
                self._record_report(report)
                self.cache.apply(events)
            is_busy = self._is_busy()
            await anyio.sleep(self.INTERVAL_S if is_busy else self.IDLE_INTERVAL_S)

    def _record_report(self, report):
        if self.unavailable.is_set():
            self.unavailable = anyio.Event()
        if not self.models and report.models:
            log.info("engine is available with %d loaded versions", len(report.models))
        self._last_report_ms = monotonic_ms()
        report.load.age_ms = report.load.age_ms or 0
        self.load = report.load
        self.models = report.models
        self.role = report.role

    def _record_failure(self, n_failures, error):
        is_connect_error = "ConnectError" in type(error).__name__
        if is_connect_error or n_failures >= self.MAX_FAILURES:
            if not self.unavailable.is_set():
                log.warning("engine is unavailable: %r", error)
                self.unavailable.set()
            self.models = []
            self.load = self._empty_load
