"""Generating an answer: attempt after attempt until it is whole."""

from collections import defaultdict

import anyio

from almonddeal.targets.choose import prefix_key
from almonddeal.targets.directory import released_on_exit
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    ANSWER_INCOMPLETE,
    ATTEMPT_LOST,
    INTERNAL,
    LEASE_EXPIRED,
    NO,
    NO_TARGET,
    NOT_REACHED,
    OVERLOADED,
    STOPPING,
    TARGET_HANDOVER,
    TARGET_LEAVING,
    TARGET_REFUSED,
    UNKNOWN,
    VERSION_GONE,
    AlmonddealError,
)
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.gen.ttypes import AttemptChunk, StartAttempt

RETRY_S = 0.02
RETRY_MAX_S = 0.5
NO_TARGET_RETRY_S = 0.1
NOT_STARTED = frozenset(
    code.number
    for code in (NOT_REACHED, TARGET_REFUSED, TARGET_LEAVING, LEASE_EXPIRED, STOPPING)
)
NOT_A_FAULT = frozenset((TARGET_HANDOVER.number, TARGET_LEAVING.number))

log = get_logger("answers")


class GenerationStats:
    """Counts of this instance's attempts, for metrics and tests."""

    def __init__(self):
        self.n_attempts = 0
        self.n_resumes = 0
        self.n_stale_chunks = 0
        self.n_tokens = 0
        self.n_losses_by_code = defaultdict(int)


class AnswerGenerator:
    """Runs attempts for the answers that this instance owns.

    Parameters
    ----------
    dispatcher_of : callable
        Maps an `AnswerSpec` to the `Dispatcher` of its model version.
    open_link : async callable
        Maps a `TargetState` to the open link to its agent.
    replicator : Replicator
    version_exists : callable
        Tells whether any live target has the version of a spec loaded.
    primer : Primer
        Keeps prefixes warm for customers whose policy asks for it.
    """

    def __init__(self, dispatcher_of, open_link, replicator, version_exists, primer):
        self.stats = GenerationStats()
        self._primer = primer
        self._dispatcher_of = dispatcher_of
        self._open_link = open_link
        self._replicator = replicator
        self._version_exists = version_exists

    async def run(self, answer, customer):
        """Bring an answer to its end, or leave the reason in ``answer.error``."""
        policy = customer.resume
        retry_s = RETRY_S
        last_progress_ms = monotonic_ms()
        avoid = ()
        while not answer.finish_reason and answer.error is None:
            if len(answer.tokens) >= answer.spec.max_tokens:
                self._finish(answer, "length")
                return
            n_before = len(answer.tokens)
            limit_ms = policy.resume_deadline_ms if n_before else policy.first_token_ms
            left_ms = last_progress_ms + limit_ms - monotonic_ms()
            try:
                if left_ms <= 0:
                    raise AlmonddealError(OVERLOADED, "no progress in time")
                target = await self._place(answer, customer, left_ms, avoid)
                with released_on_exit(target):
                    await self._attempt(answer, customer, target)
                    target.record_success()
            except AlmonddealError as error:
                if error.code in (OVERLOADED, NO_TARGET):
                    answer.fail(self._give_up(answer, error))
                    return
                avoid = self._note_loss(answer, target, error)
            if len(answer.tokens) > n_before:
                last_progress_ms = monotonic_ms()
                retry_s = RETRY_S
            elif not answer.finish_reason:
                await anyio.sleep(retry_s)
                retry_s = min(RETRY_MAX_S, retry_s * 2)

    async def _place(self, answer, customer, left_ms, avoid):
        """Wait for a place, also while no target serves the version at all."""
        deadline_ms = monotonic_ms() + left_ms
        dispatcher = self._dispatcher_of(answer.spec)
        is_resume = bool(answer.tokens)
        while True:
            left_ms = deadline_ms - monotonic_ms()
            try:
                return await dispatcher.acquire_target(
                    customer,
                    answer.spec.prompt,
                    left_ms,
                    is_resume,
                    avoid,
                    answer.primed_target,
                )
            except AlmonddealError as error:
                if error.code is not NO_TARGET or left_ms <= 0 or not is_resume:
                    raise
            await anyio.sleep(NO_TARGET_RETRY_S)

    def _give_up(self, answer, error):
        if not answer.tokens:
            was_run = UNKNOWN if answer.was_run else NO
            return AlmonddealError(
                error.code,
                error.detail,
                was_run=was_run,
                retry_after_ms=error.retry_after_ms,
            )
        if not self._version_exists(answer.spec):
            detail = f"{answer.spec.model} {answer.spec.version} runs nowhere"
            return AlmonddealError(VERSION_GONE, detail)
        return AlmonddealError(ANSWER_INCOMPLETE, error.detail)

    def _note_loss(self, answer, target, error):
        self.stats.n_losses_by_code[error.code.name] += 1
        if error.code.number not in NOT_A_FAULT:
            target.record_failure()
        if error.code.number not in NOT_STARTED:
            answer.was_run = True
        log.info(
            "lost attempt %d of %s at token %d, %s",
            answer.n_attempts,
            answer.spec.request,
            len(answer.tokens),
            error,
        )
        return (target.name,)

    async def _attempt(self, answer, customer, target):
        answer.n_attempts += 1
        self.stats.n_attempts += 1
        self.stats.n_resumes += bool(answer.tokens)
        attempt = answer.n_attempts
        start = StartAttempt(
            answer.spec,
            attempt,
            answer.tokens,
            customer.limits.priority,
            False,
            prefix_key(answer.spec.prompt),
        )
        link = await self._open_link(target.state)
        async with link.open_stream(start) as stream:
            async for chunk in stream:
                if answer.error is not None:
                    return
                self._take_chunk(answer, attempt, chunk)
                self._primer.note_progress(answer, customer, target)
            self._finish(answer, stream.reply.finish_reason)

    def _take_chunk(self, answer, attempt, chunk):
        if not isinstance(chunk, AttemptChunk):
            raise AlmonddealError(INTERNAL, f"unexpected {type(chunk).__name__}")
        if chunk.attempt != attempt:
            self.stats.n_stale_chunks += 1
            return
        if chunk.index != len(answer.tokens):
            detail = f"token {chunk.index} where {len(answer.tokens)} belongs"
            raise AlmonddealError(ATTEMPT_LOST, detail)
        answer.append_tokens(chunk.index, chunk.tokens, chunk.texts)
        self.stats.n_tokens += len(chunk.tokens)
        self._replicator.spread(answer)

    def _finish(self, answer, reason):
        if answer.error is None:
            answer.finish(reason)
            self._replicator.spread(answer)
