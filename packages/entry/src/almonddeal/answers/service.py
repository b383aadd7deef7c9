"""Lifecycle of the answers that this instance owns."""

import json
import uuid

import anyio

from almonddeal.answers.requests import request_key
from almonddeal_common.clock import monotonic_ms, wall_ms
from almonddeal_common.codes import (
    ANSWER_CANCELLED,
    INTERNAL,
    OWNERSHIP_LOST,
    REQUEST_EXISTS,
    STOPPING,
    AlmonddealError,
)
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.gen.ttypes import AnswerSpec

CLEAN_INTERVAL_S = 1.0
REPAIR_INTERVAL_S = 0.25
OWNED_RETENTION_MS = 5 * 60 * 1000

log = get_logger("answers")


class _AnswerTask:
    """An owned answer with the cancel scope of its generation.

    The scope is None while no generation runs.
    """

    __slots__ = ("answer", "customer", "callers_changed_ms", "generation_scope")

    def __init__(self, answer, customer):
        self.answer = answer
        self.customer = customer
        self.generation_scope = None
        self.callers_changed_ms = monotonic_ms()


class AnswerService:
    """Creates, attaches to, generates and cancels the answers of this instance.

    The generation of an answer that no caller waits for is stopped after a grace
    period; later this instance drops the answer, whose replicas stay until they
    expire.

    Parameters
    ----------
    ownership : Ownership
    generator : AnswerGenerator
    replicator : Replicator
    store : AnswerStore
    document_replica : DocumentReplica
    limits : CustomerLimits
    version_for_new_requests : callable
        Maps a `Model` to the version that new answers use.
    group : anyio.abc.TaskGroup
    """

    def __init__(
        self,
        ownership,
        generator,
        replicator,
        store,
        document_replica,
        limits,
        version_for_new_requests,
        group,
    ):
        self._version_for_new_requests = version_for_new_requests
        self._limits = limits
        self._ownership = ownership
        self._generator = generator
        self._replicator = replicator
        self._store = store
        self._document_replica = document_replica
        self._group = group
        self._task_by_key = {}
        self._lock_by_key = {}
        self.is_stopping = False
        self._is_handed_over = False

    @property
    def n_generating(self):
        """Number of answers that this instance is generating."""
        return sum(
            task.generation_scope is not None for task in self._task_by_key.values()
        )

    def versions_in_use(self):
        """Return the versions of unfinished answers owned by this instance.

        Returns
        -------
        versions : set of (str, str)
            Model names and versions.
        """
        return {
            (task.answer.spec.model, task.answer.spec.version)
            for task in self._task_by_key.values()
            if not task.answer.is_ended
        }

    async def create_or_attach(self, customer, request):
        """Create an answer, or attach to the one that has the caller's request id.

        Parameters
        ----------
        customer : Customer
        request : AnswerRequest

        Returns
        -------
        answer : OwnedAnswer

        Raises
        ------
        AlmonddealError
            `STOPPING`, `TOO_MANY_STREAMS`, `REQUEST_EXISTS` if the id belongs to a
            different request, or an error of `Ownership.create` or `attach`.
        """
        if self.is_stopping:
            raise AlmonddealError(STOPPING, "use another entry instance")
        is_generated_id = not request.request_id
        request_id = request.request_id or uuid.uuid4().hex
        key = request_key(customer, request_id)
        if is_generated_id:
            return await self._create(key, customer, request, True)
        async with self._lock_for(key):
            try:
                if key not in self._task_by_key:
                    return await self._create(key, customer, request, False)
            except AlmonddealError as error:
                if error.code is not OWNERSHIP_LOST:
                    raise
        return await self._attach_if_equal(customer, request, key)

    async def _attach_if_equal(self, customer, request, key):
        answer = await self.attach(customer, request.request_id)
        spec = self._make_spec(key, customer, request)
        same = (
            spec.model == answer.spec.model
            and spec.prompt == answer.spec.prompt
            and spec.settings_json == answer.spec.settings_json
            and spec.max_tokens == answer.spec.max_tokens
        )
        if not same:
            raise AlmonddealError(REQUEST_EXISTS, "give the request another id")
        return answer

    def _make_spec(self, key, customer, request):
        model = self._document_replica.document.model_by_name[request.model]
        return AnswerSpec(
            request=key,
            customer=customer.name,
            model=request.model,
            version=self._version_for_new_requests(model),
            adapter=request.adapter,
            prompt=request.prompt,
            settings_json=json.dumps(request.settings, sort_keys=True),
            max_tokens=request.max_tokens,
            created_ms=wall_ms(),
        )

    async def _create(self, key, customer, request, is_generated_id):
        spec = self._make_spec(key, customer, request)
        self._limits.acquire_stream(customer)
        try:
            copies = customer.resume.copies
            answer = await self._ownership.create(spec, copies, is_generated_id)
            self._start(key, _AnswerTask(answer, customer))
        finally:
            self._limits.release_stream(customer)
        return answer

    async def attach(self, customer, request_id):
        """Return an existing answer, taking it over if another instance owns it.

        Parameters
        ----------
        customer : Customer
        request_id : str

        Returns
        -------
        answer : OwnedAnswer

        Raises
        ------
        AlmonddealError
            `ANSWER_UNKNOWN`, `ANSWER_EVICTED` or `HOLDERS_UNREACHABLE`; `STOPPING` in
            a stop, unless the answer is owned here.
        """
        key = request_key(customer, request_id)
        async with self._lock_for(key):
            task = self._task_by_key.get(key)
            if task is not None and self._can_reuse(task):
                return task.answer
            if self.is_stopping:
                raise AlmonddealError(STOPPING, "use another entry instance")
            answer = await self._ownership.take_over(key, customer.resume.copies)
            self._start(key, _AnswerTask(answer, customer))
            return answer

    def _can_reuse(self, task):
        # Another instance may own the answer by now. A running generation learns of
        # that from its appends, and an ended answer no longer changes; an unfinished
        # answer without a generation has to be taken over again.
        return task.answer.error is None and (
            task.generation_scope is not None or task.answer.is_ended
        )

    def _lock_for(self, key):
        lock = self._lock_by_key.get(key)
        if lock is None:
            lock = self._lock_by_key[key] = anyio.Lock()
        return lock

    async def restore_replication(self, spec):
        """Restore the replicas of an answer on all its holders.

        An answer owned by this instance is sent again, any other one is taken over.

        Parameters
        ----------
        spec : AnswerSpec

        Returns
        -------
        is_restored : bool
            False if the customer no longer exists.
        """
        customer = self._document_replica.document.customer_by_name.get(spec.customer)
        if customer is None:
            return False
        key = spec.request
        async with self._lock_for(key):
            task = self._task_by_key.get(key)
            if task is not None and task.answer.error is None:
                self._replicator.resend(task.answer)
                return True
            copies = customer.resume.copies
            answer = await self._ownership.take_over(key, copies)
            self._task_by_key[key] = _AnswerTask(answer, customer)
            return True

    def _start(self, key, task):
        self._task_by_key[key] = task
        task.callers_changed_ms = monotonic_ms()
        if self._is_handed_over and not task.answer.is_ended:
            # Its holders replied after the stop had ended the generations.
            self._hand_over(task.answer)
        elif not task.answer.finish_reason:
            task.generation_scope = anyio.CancelScope()
            self._group.start_soon(self._generate, task, task.generation_scope)

    async def _generate(self, task, generation_scope):
        with generation_scope, self._limits.count_stream(task.customer):
            try:
                await self._generator.generate(task.answer, task.customer)
            except Exception:
                # It must not cancel the task group of all answers.
                log.exception("generation of %r failed", task.answer)
                task.answer.fail(AlmonddealError(INTERNAL, "see the log"))
        if task.generation_scope is generation_scope:
            task.generation_scope = None
        if generation_scope.cancelled_caught:
            log.info("cancelled generation of answer %s", task.answer.spec.request)

    def cancel_if_owned(self, customer, request_id):
        """Cancel an answer owned by this instance; returns whether it is owned here."""
        task = self._task_by_key.get(request_key(customer, request_id))
        if task is None or task.answer.error is not None:
            return False
        self._cancel_task(task)
        return True

    def cancel_answer(self, answer):
        """Cancel an answer if this instance still owns it."""
        task = self._task_by_key.get(answer.spec.request)
        if task is not None and task.answer is answer and answer.error is None:
            self._cancel_task(task)

    async def cancel_anywhere(self, customer, request_id):
        """Cancel an answer, taking it over if another instance owns it.

        The tokens generated so far are kept.

        Raises
        ------
        AlmonddealError
            `ANSWER_UNKNOWN`, `ANSWER_EVICTED` or `HOLDERS_UNREACHABLE`.
        """
        if self.cancel_if_owned(customer, request_id):
            return
        key = request_key(customer, request_id)
        async with self._lock_for(key):
            copies = customer.resume.copies
            answer = await self._ownership.take_over(key, copies)
            task = self._task_by_key[key] = _AnswerTask(answer, customer)
        self._cancel_task(task)

    def _cancel_task(self, task):
        if task.generation_scope is not None:
            task.generation_scope.cancel()
        answer = task.answer
        answer.finish("cancelled", ANSWER_CANCELLED.number)
        self._replicator.replicate(answer)

    def hand_over(self):
        """Stop generating all answers; callers reconnect to another instance."""
        self._is_handed_over = True
        for task in self._task_by_key.values():
            if task.generation_scope is not None:
                self._hand_over(task.answer)
                task.generation_scope.cancel()

    @staticmethod
    def _hand_over(answer):
        log.info("handed over answer %s, the instance stops", answer.spec.request)
        answer.fail(AlmonddealError(OWNERSHIP_LOST, "reconnect"))

    def count_caller(self, answer):
        """Return a context manager that counts a caller as waiting for an answer.

        A caller enters it before its first await after `create_or_attach` or `attach`
        and leaves it when its response has been sent: the generation of an answer
        without callers may be stopped at any await.
        """
        return _CallerCount(self, answer)

    def record_caller_change(self, answer):
        """Restart the time without callers of an answer after their number changed."""
        task = self._task_by_key.get(answer.spec.request)
        if task is not None:
            task.callers_changed_ms = monotonic_ms()

    async def clean_periodically(self):
        """Stop generation without callers and drop unused answers, until cancelled."""
        while True:
            await anyio.sleep(CLEAN_INTERVAL_S / 4)
            now_ms = monotonic_ms()
            for key, task in list(self._task_by_key.items()):
                # Wakes waiting callers, which check their deadlines.
                task.answer.notify_changed()
                if task.answer.n_waiting_callers == 0:
                    self._clean_task(key, task, now_ms - task.callers_changed_ms)
            for key, lock in list(self._lock_by_key.items()):
                if not lock.statistics().locked and key not in self._task_by_key:
                    del self._lock_by_key[key]

    def _clean_task(self, key, task, idle_ms):
        grace_ms = task.customer.resume.disconnect_grace_ms
        if task.generation_scope is not None:
            if idle_ms > grace_ms:
                task.generation_scope.cancel()
                # The generation ends only at its next await. A caller that attaches
                # before then must take the answer over.
                task.generation_scope = None
        elif task.answer.is_ended or task.answer.error is not None:
            if idle_ms > CLEAN_INTERVAL_S * 1000:
                del self._task_by_key[key]
        elif idle_ms > OWNED_RETENTION_MS:
            del self._task_by_key[key]

    async def repair_periodically(self):
        """Replace unreachable holders and expire held answers, until cancelled."""
        while True:
            await anyio.sleep(REPAIR_INTERVAL_S)
            self._store.expire(self._retention_ms)
            for task in list(self._task_by_key.values()):
                answer = task.answer
                if not answer.is_ended and answer.error is None:
                    await self._ownership.repair(answer, task.customer.resume.copies)

    def _retention_ms(self, customer_name):
        customer = self._document_replica.document.customer_by_name.get(customer_name)
        return customer.resume.keep_s * 1000 if customer is not None else 0


class _CallerCount:
    __slots__ = ("_answer", "_service")

    def __init__(self, service, answer):
        self._service = service
        self._answer = answer

    def __enter__(self):
        self._answer.n_waiting_callers += 1
        self._service.record_caller_change(self._answer)
        return self._answer

    def __exit__(self, *exc_info):
        self._answer.n_waiting_callers -= 1
        self._service.record_caller_change(self._answer)
