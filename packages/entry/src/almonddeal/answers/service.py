"""The answers of this instance: begun, attached to, cancelled and cleaned up."""

import json
import uuid

import anyio

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
KEEP_OWNED_MS = 5 * 60 * 1000
MAX_ID_CHARS = 128

log = get_logger("answers")


class AnswerRequest:
    """What a caller asks to be generated."""

    __slots__ = ("adapter", "max_tokens", "model", "prompt", "request_id", "settings")

    def __init__(self, model, prompt, settings, max_tokens, request_id="", adapter=""):
        self.model = model
        self.prompt = prompt
        self.settings = settings
        self.max_tokens = max_tokens
        self.request_id = request_id
        self.adapter = adapter


class _Running:
    """An owned answer with the task that works on it."""

    __slots__ = ("answer", "customer", "idle_since_ms", "scope")

    def __init__(self, answer, customer):
        self.answer = answer
        self.customer = customer
        self.scope = None
        self.idle_since_ms = monotonic_ms()


def request_key(customer, request_id):
    """Return the key of a request; ids of different customers never meet."""
    return f"{customer.name}:{request_id}"


class AnswerService:
    """Owns answers, and works on those that somebody waits for.

    Parameters
    ----------
    ownership : Ownership
    generator : AnswerGenerator
    replicator : Replicator
    store : AnswerStore
    replica : DocumentReplica
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
        replica,
        limits,
        version_for_new_requests,
        group,
    ):
        self._version_for_new = version_for_new_requests
        self._limits = limits
        self._ownership = ownership
        self._generator = generator
        self._replicator = replicator
        self._store = store
        self._replica = replica
        self._group = group
        self._running_by_key = {}
        self._lock_by_key = {}
        self.is_stopping = False

    @property
    def n_working(self):
        """Number of answers that are being generated here."""
        return sum(r.scope is not None for r in self._running_by_key.values())

    def versions_in_use(self):
        """Return the versions of unfinished answers that are owned here, as pairs."""
        return {
            (running.answer.spec.model, running.answer.spec.version)
            for running in self._running_by_key.values()
            if not running.answer.is_ended
        }

    # ---- beginning and attaching -----------------------------------------------

    async def begin(self, customer, request):
        """Begin an answer, or attach to it if the caller's id is known already.

        Returns
        -------
        answer : OwnedAnswer

        Raises
        ------
        AlmonddealError
        """
        if self.is_stopping:
            raise AlmonddealError(STOPPING, "use another entry instance")
        is_new_id = not request.request_id
        request_id = request.request_id or uuid.uuid4().hex
        key = request_key(customer, request_id)
        if is_new_id:
            return await self._create(key, customer, request, True)
        async with self._locked(key):
            try:
                if key not in self._running_by_key:
                    return await self._create(key, customer, request, False)
            except AlmonddealError as error:
                if error.code is not OWNERSHIP_LOST:
                    raise
        return await self._attach_equal(customer, request, key)

    async def _attach_equal(self, customer, request, key):
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
        model = self._replica.document.model_by_name[request.model]
        return AnswerSpec(
            request=key,
            customer=customer.name,
            model=request.model,
            version=self._version_for_new(model),
            adapter=request.adapter,
            prompt=request.prompt,
            settings_json=json.dumps(request.settings, sort_keys=True),
            max_tokens=request.max_tokens,
            created_ms=wall_ms(),
        )

    async def _create(self, key, customer, request, is_new_id):
        spec = self._make_spec(key, customer, request)
        self._limits.acquire_stream(customer)
        try:
            copies = customer.resume.copies
            answer = await self._ownership.create(spec, copies, is_new_id)
            self._start(key, _Running(answer, customer))
        finally:
            self._limits.release_stream(customer)
        return answer

    async def attach(self, customer, request_id):
        """Return an answer that exists, taking it over if it is owned elsewhere.

        Raises
        ------
        AlmonddealError
            `ANSWER_UNKNOWN`, `ANSWER_EVICTED` or `HOLDERS_UNREACHABLE`.
        """
        key = request_key(customer, request_id)
        async with self._locked(key):
            running = self._running_by_key.get(key)
            if running is not None and self._can_go_on(running):
                self._restart(key, running)
                return running.answer
            copies = customer.resume.copies
            answer = await self._ownership.take_over(key, copies)
            self._start(key, _Running(answer, customer))
            return answer

    def _can_go_on(self, running):
        # Another instance may own it by now; an append would tell, so only answers
        # whose work still runs, or that ended here, are served without asking.
        return running.answer.error is None and (
            running.scope is not None or running.answer.is_ended
        )

    def _restart(self, key, running):
        if running.scope is None and not running.answer.is_ended:
            self._start(key, running)

    def _locked(self, key):
        lock = self._lock_by_key.get(key)
        if lock is None:
            lock = self._lock_by_key[key] = anyio.Lock()
        return lock

    async def restore(self, spec):
        """Bring an answer back to all its holders; returns whether it was done.

        An answer that is worked on here is sent again, any other one is taken over.
        """
        customer = self._replica.document.customer_by_name.get(spec.customer)
        if customer is None:
            return False
        key = spec.request
        async with self._locked(key):
            running = self._running_by_key.get(key)
            if running is not None and running.answer.error is None:
                self._replicator.resend(running.answer)
                return True
            copies = customer.resume.copies
            answer = await self._ownership.take_over(key, copies)
            self._running_by_key[key] = _Running(answer, customer)
            return True

    # ---- working ---------------------------------------------------------------

    def _start(self, key, running):
        self._running_by_key[key] = running
        running.idle_since_ms = monotonic_ms()
        if not running.answer.finish_reason:
            running.scope = anyio.CancelScope()
            self._group.start_soon(self._work, running, running.scope)

    async def _work(self, running, scope):
        with scope, self._limits.count_stream(running.customer):
            try:
                await self._generator.run(running.answer, running.customer)
            except Exception:
                # What is wrong with one answer must not cut the others.
                log.exception("gave up %r", running.answer)
                running.answer.fail(AlmonddealError(INTERNAL, "see the log"))
        if running.scope is scope:
            running.scope = None
        if scope.cancelled_caught:
            log.info("stopped work on %s", running.answer.spec.request)

    def cancel(self, customer, request_id):
        """Cancel an answer that is owned here; returns whether it was."""
        running = self._running_by_key.get(request_key(customer, request_id))
        if running is None or running.answer.error is not None:
            return False
        self._end_cancelled(running)
        return True

    def cancel_answer(self, answer):
        """Cancel an answer in this instance's hands."""
        running = self._running_by_key.get(answer.spec.request)
        if running is not None and running.answer is answer and answer.error is None:
            self._end_cancelled(running)

    async def cancel_anywhere(self, customer, request_id):
        """Cancel an answer, wherever it is owned; its text so far is kept."""
        if self.cancel(customer, request_id):
            return
        key = request_key(customer, request_id)
        async with self._locked(key):
            copies = customer.resume.copies
            answer = await self._ownership.take_over(key, copies)
            running = self._running_by_key[key] = _Running(answer, customer)
        self._end_cancelled(running)

    def _end_cancelled(self, running):
        if running.scope is not None:
            running.scope.cancel()
        answer = running.answer
        answer.finish("cancelled", ANSWER_CANCELLED.number)
        self._replicator.spread(answer)

    def hand_over(self):
        """Stop working on all answers; callers go on at another instance."""
        for running in self._running_by_key.values():
            if running.scope is not None:
                running.answer.fail(AlmonddealError(OWNERSHIP_LOST, "reconnect"))
                running.scope.cancel()

    # ---- subscribers -----------------------------------------------------------

    def subscribe(self, answer):
        """Return a context in which a caller waits for an answer."""
        return _Subscription(self, answer)

    def note_subscribers(self, answer):
        """Note that the number of callers that wait for an answer changed."""
        running = self._running_by_key.get(answer.spec.request)
        if running is not None:
            running.idle_since_ms = monotonic_ms()

    # ---- upkeep ----------------------------------------------------------------

    async def clean_periodically(self):
        """Stop work that nobody waits for and forget what ended, until cancelled."""
        while True:
            await anyio.sleep(CLEAN_INTERVAL_S / 4)
            now_ms = monotonic_ms()
            for key, running in list(self._running_by_key.items()):
                # Those who wait look at their deadlines.
                running.answer.notify_changed()
                if running.answer.n_subscribers == 0:
                    self._clean(key, running, now_ms - running.idle_since_ms)
            for key, lock in list(self._lock_by_key.items()):
                if not lock.statistics().locked and key not in self._running_by_key:
                    del self._lock_by_key[key]

    def _clean(self, key, running, idle_ms):
        grace_ms = running.customer.resume.disconnect_grace_ms
        if running.scope is not None:
            if idle_ms > grace_ms:
                running.scope.cancel()
        elif running.answer.is_ended or running.answer.error is not None:
            if idle_ms > CLEAN_INTERVAL_S * 1000:
                del self._running_by_key[key]
        elif idle_ms > KEEP_OWNED_MS:
            del self._running_by_key[key]

    async def repair_periodically(self):
        """Replace unreachable holders of unfinished answers, until cancelled."""
        while True:
            await anyio.sleep(REPAIR_INTERVAL_S)
            self._store.expire(self._keep_ms)
            for running in list(self._running_by_key.values()):
                answer = running.answer
                if not answer.is_ended and answer.error is None:
                    await self._ownership.repair(answer, running.customer.resume.copies)

    def _keep_ms(self, customer_name):
        customer = self._replica.document.customer_by_name.get(customer_name)
        return customer.resume.keep_s * 1000 if customer is not None else 0


class _Subscription:
    __slots__ = ("_answer", "_service")

    def __init__(self, service, answer):
        self._service = service
        self._answer = answer

    def __enter__(self):
        self._answer.n_subscribers += 1
        self._service.note_subscribers(self._answer)
        return self._answer

    def __exit__(self, *exc_info):
        self._answer.n_subscribers -= 1
        self._service.note_subscribers(self._answer)
