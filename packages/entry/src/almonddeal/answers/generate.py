"""Generation of answers: engine attempts, resumed after a loss until complete."""

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

RETRY_MIN_S = 0.02
RETRY_MAX_S = 0.5
NO_TARGET_RETRY_S = 0.1
# Engines that may be lost under an answer before any generated a token: the answer may
# be what crashes them.
MAX_LOSSES_BEFORE_TOKEN = 3
NOT_RUN_CODES = frozenset(
    code.number
    for code in (NOT_REACHED, TARGET_REFUSED, TARGET_LEAVING, LEASE_EXPIRED, STOPPING)
)
NO_BACKOFF_CODES = frozenset((TARGET_HANDOVER.number, TARGET_LEAVING.number))

log = get_logger("answers")


class GenerationStats:
    """Counters of the generation attempts of this instance."""

    def __init__(self):
        self.n_attempts = 0
        self.n_resumes = 0
        self.n_stale_chunks = 0
        self.n_tokens = 0
        self.n_losses_by_code = defaultdict(int)


class AnswerGenerator:
    """Generates the answers that this instance owns, one engine attempt at a time.

    Parameters
    ----------
    dispatcher_of : callable
        Maps an `AnswerSpec` to the `Dispatcher` of its model version.
    open_link : async callable
        Maps a `TargetState` to the open link to its agent.
    replicator : Replicator
        Sends appended tokens to the holders.
    is_version_loaded : callable
        Maps an `AnswerSpec` to whether any live target has its model version loaded.
    primer : Primer
        Primes the prefix cache of a spare engine where the customer's policy says so.
    """

    def __init__(self, dispatcher_of, open_link, replicator, is_version_loaded, primer):
        self.stats = GenerationStats()
        self._primer = primer
        self._dispatcher_of = dispatcher_of
        self._open_link = open_link
        self._replicator = replicator
        self._is_version_loaded = is_version_loaded

    async def generate(self, answer, customer):
        """Generate an answer until it is finished or fails.

        After a lost attempt the answer is resumed from the last appended token, on
        another target if possible. A failure is stored in ``answer.error`` and not
        raised.

        Parameters
        ----------
        answer : OwnedAnswer
        customer : Customer
            Its resume policy gives the timeouts without progress.
        """
        policy = customer.resume
        retry_s = RETRY_MIN_S
        last_progress_ms = monotonic_ms()
        names_to_avoid = ()
        n_losses = 0
        while not answer.finish_reason and answer.error is None:
            if len(answer.tokens) >= answer.spec.max_tokens:
                self._finish(answer, "length")
                return
            n_before = len(answer.tokens)
            progress_timeout_ms = (
                policy.resume_deadline_ms if n_before else policy.first_token_ms
            )
            left_ms = last_progress_ms + progress_timeout_ms - monotonic_ms()
            try:
                if left_ms <= 0:
                    raise AlmonddealError(OVERLOADED, "no progress in time")
                target = await self._acquire_target(
                    answer, customer, left_ms, names_to_avoid
                )
                with released_on_exit(target):
                    await self._attempt(answer, customer, target)
                    target.record_success()
            except AlmonddealError as error:
                if error.code in (OVERLOADED, NO_TARGET):
                    answer.fail(self._final_error(answer, error))
                    return
                names_to_avoid = self._record_loss(answer, target, error)
                n_losses += error.code.number not in NOT_RUN_CODES
                if not answer.tokens and n_losses >= MAX_LOSSES_BEFORE_TOKEN:
                    answer.fail(
                        AlmonddealError(
                            ATTEMPT_LOST, "engines were lost before the first token"
                        )
                    )
                    return
            if len(answer.tokens) > n_before:
                last_progress_ms = monotonic_ms()
                retry_s = RETRY_MIN_S
            elif not answer.finish_reason:
                await anyio.sleep(retry_s)
                retry_s = min(RETRY_MAX_S, retry_s * 2)

    async def _acquire_target(self, answer, customer, left_ms, names_to_avoid):
        """Wait for a slot at a target and return the acquired `Target`.

        An answer that already has tokens also waits while no target serves its
        version.
        """
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
                    names_to_avoid,
                    answer.primed_target_name,
                )
            except AlmonddealError as error:
                if error.code is not NO_TARGET or left_ms <= 0 or not is_resume:
                    raise
            await anyio.sleep(NO_TARGET_RETRY_S)

    def _final_error(self, answer, error):
        """Return the error that ends an answer for which no target was acquired."""
        if not answer.tokens:
            was_run = UNKNOWN if answer.may_have_run else NO
            return AlmonddealError(
                error.code,
                error.detail,
                was_run=was_run,
                retry_after_ms=error.retry_after_ms,
            )
        if not self._is_version_loaded(answer.spec):
            detail = f"{answer.spec.model} {answer.spec.version} runs nowhere"
            return AlmonddealError(VERSION_GONE, detail)
        return AlmonddealError(ANSWER_INCOMPLETE, error.detail)

    def _record_loss(self, answer, target, error):
        """Record a lost attempt; returns the names of targets to avoid next."""
        self.stats.n_losses_by_code[error.code.name] += 1
        if error.code.number not in NO_BACKOFF_CODES:
            target.record_failure()
        if error.code.number not in NOT_RUN_CODES:
            answer.may_have_run = True
        log.info(
            "attempt %d of answer %s lost after %d tokens: %s",
            answer.n_attempts,
            answer.spec.request,
            len(answer.tokens),
            error,
        )
        return (target.name,)

    async def _attempt(self, answer, customer, target):
        """Run one attempt at a target and append its tokens to the answer."""
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
                self._append_chunk(answer, attempt, chunk)
                self._primer.prime_if_due(answer, customer, target)
            self._finish(answer, stream.reply.finish_reason)

    def _append_chunk(self, answer, attempt, chunk):
        if not isinstance(chunk, AttemptChunk):
            raise AlmonddealError(INTERNAL, f"unexpected {type(chunk).__name__}")
        # A correct agent labels all chunks with the attempt that it was started for.
        if chunk.attempt != attempt:
            self.stats.n_stale_chunks += 1
            return
        if chunk.index != len(answer.tokens):
            detail = f"token {chunk.index} where {len(answer.tokens)} belongs"
            raise AlmonddealError(ATTEMPT_LOST, detail)
        answer.append_tokens(chunk.index, chunk.tokens, chunk.texts)
        self.stats.n_tokens += len(chunk.tokens)
        self._replicator.replicate(answer)

    def _finish(self, answer, reason):
        if answer.error is None:
            answer.finish(reason)
            self._replicator.replicate(answer)
