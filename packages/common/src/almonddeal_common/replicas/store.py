"""The copies of answers that one process holds for their owners.

An owner appends under an epoch. A holder that promised a higher epoch refuses older
ones, so a slow old owner and its successor can never both append. The first append of
an epoch carries the whole answer so far and replaces what an older epoch left.
"""

from collections import OrderedDict

from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    ANSWER_EVICTED,
    ANSWER_MEMORY_FULL,
    ANSWER_UNKNOWN,
    OK,
    OWNERSHIP_LOST,
)
from almonddeal_common.wire.gen.ttypes import AppendResult, FenceReply

TOKEN_BYTES = 96
ANSWER_BYTES = 2048
MAX_BYTES = 128 * 1024 * 1024
MAX_CUSTOMER_SHARE = 0.5
KEEP_UNFINISHED_MS = 30 * 60 * 1000
KEEP_FINISHED_MS = 10 * 60 * 1000
KEEP_PROMISE_MS = 60 * 1000
MAX_EVICTED_MARKS = 100_000


class AnswerReplica:
    """One answer as a holder knows it."""

    __slots__ = (
        "accepted_epoch",
        "end_code",
        "finish_reason",
        "holders",
        "n_attempts",
        "promised_epoch",
        "spec",
        "texts",
        "tokens",
        "last_write_ms",
    )

    def __init__(self):
        self.spec = None
        self.promised_epoch = 0
        self.accepted_epoch = 0
        self.tokens = []
        self.texts = []
        self.finish_reason = ""
        self.end_code = 0
        self.holders = []
        self.n_attempts = 0
        self.last_write_ms = monotonic_ms()

    @property
    def is_sealed(self):
        """Whether the answer has ended."""
        return bool(self.finish_reason)

    @property
    def n_bytes(self):
        """Estimate of the memory that the answer takes."""
        if self.spec is None:
            return ANSWER_BYTES
        return ANSWER_BYTES + len(self.spec.prompt) + TOKEN_BYTES * len(self.tokens)


class AnswerStore:
    """Held answers by request, within a bound of memory.

    Parameters
    ----------
    max_bytes : int
        Bound of the estimated memory of all answers. One customer may use
        `MAX_CUSTOMER_SHARE` of it.
    """

    def __init__(self, max_bytes=MAX_BYTES):
        self._max_bytes = max_bytes
        self._answer_by_request = OrderedDict()
        self._bytes_by_customer = {}
        self._evicted = OrderedDict()
        self.n_bytes = 0

    def __len__(self):
        return len(self._answer_by_request)

    def get(self, request):
        """Return the held answer of a request, or None."""
        return self._answer_by_request.get(request)

    def versions_in_use(self):
        """Return the models and versions of unfinished answers, as a set of pairs."""
        return {
            (answer.spec.model, answer.spec.version)
            for answer in self._answer_by_request.values()
            if answer.spec is not None and not answer.is_sealed
        }

    def answers(self):
        """Return the held answers as a list."""
        return [a for a in self._answer_by_request.values() if a.spec is not None]

    # ---- appending -------------------------------------------------------------

    def append(self, message):
        """Take an owner's append; returns an `AppendResult`.

        The result's ``length`` is what this holder has under the given epoch; an owner
        that sees a shorter one than it sent sends again from there.
        """
        answer = self._answer_by_request.get(message.request)
        if answer is not None and message.epoch < answer.promised_epoch:
            return self._result(message, OWNERSHIP_LOST, answer.promised_epoch, 0)
        is_known = answer is not None and answer.accepted_epoch == message.epoch
        if not is_known:
            if message.index != 0 or message.spec is None:
                return self._result(message, ANSWER_UNKNOWN, message.epoch, 0)
            if not self._make_room(message):
                return self._result(message, ANSWER_MEMORY_FULL, message.epoch, 0)
            answer = self._begin_epoch(message, answer)
        elif message.index > len(answer.tokens):
            return self._result(message, OK, message.epoch, len(answer.tokens))
        self._extend(answer, message)
        return AppendResult(
            message.request,
            message.epoch,
            len(answer.tokens),
            OK.number,
            answer.is_sealed,
        )

    @staticmethod
    def _result(message, code, epoch, length):
        return AppendResult(message.request, epoch, length, code.number, False)

    def _begin_epoch(self, message, answer):
        if answer is None:
            answer = AnswerReplica()
            self._answer_by_request[message.request] = answer
        else:
            self._account(answer, -answer.n_bytes)
        answer.spec = message.spec
        answer.holders = list(message.holders)
        answer.promised_epoch = message.epoch
        answer.accepted_epoch = message.epoch
        answer.tokens = []
        answer.texts = []
        answer.finish_reason = ""
        answer.end_code = 0
        self._account(answer, answer.n_bytes)
        return answer

    def _extend(self, answer, message):
        known = answer.tokens[message.index :]
        n_common = min(len(known), len(message.tokens))
        assert known[:n_common] == message.tokens[:n_common], (
            f"two owners in epoch {message.epoch} of {message.request}"
        )
        new_tokens = message.tokens[len(known) :]
        assert not (new_tokens and answer.is_sealed), "an ended answer would grow"
        answer.tokens.extend(new_tokens)
        answer.texts.extend(message.texts[len(known) :])
        if message.finish_reason:
            answer.finish_reason = message.finish_reason
            answer.end_code = message.end_code or 0
        answer.n_attempts = max(answer.n_attempts, message.n_attempts or 0)
        answer.last_write_ms = monotonic_ms()
        if new_tokens:
            self._account(answer, TOKEN_BYTES * len(new_tokens))
        self._answer_by_request.move_to_end(message.request)

    def _account(self, answer, n_bytes):
        customer = answer.spec.customer if answer.spec else ""
        self.n_bytes += n_bytes
        total = self._bytes_by_customer.get(customer, 0) + n_bytes
        if total > 0:
            self._bytes_by_customer[customer] = total
        else:
            self._bytes_by_customer.pop(customer, None)

    # ---- fencing ---------------------------------------------------------------

    def fence(self, message):
        """Promise an epoch to a new owner and tell it what is held.

        Returns
        -------
        reply : FenceReply
            ``found`` is false when nothing is held. A holder without the answer may
            have lost it in a restart, so it never counts towards a takeover.
        """
        answer = self._answer_by_request.get(message.request)
        if answer is None and message.request in self._evicted:
            return FenceReply(ANSWER_EVICTED.number, 0, False)
        if answer is None and message.only_read:
            return FenceReply(OK.number, 0, False)
        if answer is None:
            answer = AnswerReplica()
            self._answer_by_request[message.request] = answer
            self._account(answer, answer.n_bytes)
        code = OK
        if not message.only_read:
            if message.epoch <= answer.promised_epoch:
                code = OWNERSHIP_LOST
            else:
                answer.promised_epoch = message.epoch
                answer.last_write_ms = monotonic_ms()
        return self._describe(answer, code)

    @staticmethod
    def _describe(answer, code):
        return FenceReply(
            code=code.number,
            promised_epoch=answer.promised_epoch,
            found=answer.spec is not None,
            accepted_epoch=answer.accepted_epoch,
            spec=answer.spec,
            tokens=list(answer.tokens),
            texts=list(answer.texts),
            finish_reason=answer.finish_reason,
            holders=list(answer.holders),
            n_attempts=answer.n_attempts,
            end_code=answer.end_code,
        )

    # ---- memory ----------------------------------------------------------------

    def _make_room(self, message):
        customer = message.spec.customer
        needed = ANSWER_BYTES + len(message.spec.prompt)
        needed += TOKEN_BYTES * len(message.tokens)
        share = self._max_bytes * MAX_CUSTOMER_SHARE
        while self._bytes_by_customer.get(customer, 0) + needed > share:
            if not self._evict_oldest_ended(customer):
                return False
        while self.n_bytes + needed > self._max_bytes:
            if not self._evict_oldest_ended(None):
                return False
        return True

    def _evict_oldest_ended(self, customer):
        for request, answer in self._answer_by_request.items():
            is_theirs = customer is None or (
                answer.spec is not None and answer.spec.customer == customer
            )
            if answer.is_sealed and is_theirs:
                self._evict(request)
                return True
        return False

    def _evict(self, request):
        answer = self._answer_by_request.pop(request)
        self._account(answer, -answer.n_bytes)
        if answer.spec is not None:
            self._evicted[request] = None
            if len(self._evicted) > MAX_EVICTED_MARKS:
                self._evicted.popitem(last=False)

    def expire(self, keep_ms_of=None):
        """Drop what was kept for long enough.

        Parameters
        ----------
        keep_ms_of : callable, optional
            Maps a customer to the time in ms that its ended answers are kept.
        """
        now_ms = monotonic_ms()
        expired = []
        for request, answer in self._answer_by_request.items():
            if now_ms - answer.last_write_ms > self._keep_ms(answer, keep_ms_of):
                expired.append(request)
        for request in expired:
            self._evict(request)

    @staticmethod
    def _keep_ms(answer, keep_ms_of):
        if answer.spec is None:
            return KEEP_PROMISE_MS
        if not answer.is_sealed:
            return KEEP_UNFINISHED_MS
        if keep_ms_of is None:
            return KEEP_FINISHED_MS
        return keep_ms_of(answer.spec.customer)
