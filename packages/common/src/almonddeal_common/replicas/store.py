"""Replicas of answers that one process holds for the answers' owners.

An owner appends under its epoch. A holder rejects appends of an epoch lower than the
one it has promised, so a delayed former owner and its successor can never both append.
The first append of an epoch carries the whole answer so far and replaces the replica of
any earlier epoch.
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

BYTES_PER_TOKEN = 96
REPLICA_OVERHEAD_BYTES = 2048
MAX_BYTES = 128 * 1024 * 1024
MAX_CUSTOMER_SHARE = 0.5
INCOMPLETE_RETENTION_MS = 30 * 60 * 1000
COMPLETE_RETENTION_MS = 10 * 60 * 1000
PROMISE_RETENTION_MS = 60 * 1000  # of a replica with nothing but a promised epoch
MAX_EVICTED_REQUESTS = 100_000  # request keys kept to reply with ANSWER_EVICTED


class AnswerReplica:
    """One holder's replica of an answer.

    Until the first append it holds only a promised epoch, and `spec` is None.
    """

    __slots__ = (
        "accepted_epoch",
        "end_code",
        "finish_reason",
        "holders",
        "last_write_ms",
        "n_attempts",
        "promised_epoch",
        "spec",
        "texts",
        "tokens",
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
        """Whether this replica contains the end of the answer."""
        return bool(self.finish_reason)

    @property
    def n_bytes(self):
        """Estimated memory of the replica in bytes."""
        if self.spec is None:
            return REPLICA_OVERHEAD_BYTES
        return (
            REPLICA_OVERHEAD_BYTES
            + len(self.spec.prompt)
            + BYTES_PER_TOKEN * len(self.tokens)
        )


class AnswerStore:
    """Replicas of answers by request key, within a memory limit.

    Parameters
    ----------
    max_bytes : int
        Limit of the estimated memory of all replicas. One customer may use at most
        the fraction `MAX_CUSTOMER_SHARE` of it.
    """

    def __init__(self, max_bytes=MAX_BYTES):
        self._max_bytes = max_bytes
        self._replica_by_request = OrderedDict()
        self._bytes_by_customer = {}
        self._evicted_requests = OrderedDict()
        self.n_bytes = 0

    def __len__(self):
        return len(self._replica_by_request)

    def get(self, request):
        """Return the replica for a request key, or None."""
        return self._replica_by_request.get(request)

    def versions_in_use(self):
        """Return the set of (model, version) pairs of the incomplete answers."""
        return {
            (replica.spec.model, replica.spec.version)
            for replica in self._replica_by_request.values()
            if replica.spec is not None and not replica.is_sealed
        }

    def replicas_of_answers(self):
        """Return the replicas that hold an answer, as a list."""
        return [r for r in self._replica_by_request.values() if r.spec is not None]

    def append(self, message):
        """Apply an owner's append; returns an `AppendResult`.

        Appends may overlap and repeat. The ``length`` of the result is the number of
        tokens that this holder has in the epoch; if it is less than the owner has sent,
        the owner resends from there.
        """
        replica = self._replica_by_request.get(message.request)
        if replica is not None and message.epoch < replica.promised_epoch:
            return self._make_result(message, OWNERSHIP_LOST, replica.promised_epoch, 0)
        is_current_epoch = (
            replica is not None and replica.accepted_epoch == message.epoch
        )
        if not is_current_epoch:
            if message.index != 0 or message.spec is None:
                return self._make_result(message, ANSWER_UNKNOWN, message.epoch, 0)
            if not self._evict_to_fit(message):
                return self._make_result(message, ANSWER_MEMORY_FULL, message.epoch, 0)
            replica = self._start_epoch(message, replica)
        elif message.index > len(replica.tokens):
            return self._make_result(message, OK, message.epoch, len(replica.tokens))
        self._extend(replica, message)
        return AppendResult(
            message.request,
            message.epoch,
            len(replica.tokens),
            OK.number,
            replica.is_sealed,
        )

    @staticmethod
    def _make_result(message, code, epoch, length):
        return AppendResult(message.request, epoch, length, code.number, False)

    def _start_epoch(self, message, replica):
        if replica is None:
            replica = AnswerReplica()
            self._replica_by_request[message.request] = replica
        else:
            self._account(replica, -replica.n_bytes)
        replica.spec = message.spec
        replica.holders = list(message.holders)
        replica.promised_epoch = message.epoch
        replica.accepted_epoch = message.epoch
        replica.tokens = []
        replica.texts = []
        replica.finish_reason = ""
        replica.end_code = 0
        self._account(replica, replica.n_bytes)
        return replica

    def _extend(self, replica, message):
        known_tokens = replica.tokens[message.index :]
        n_common = min(len(known_tokens), len(message.tokens))
        assert known_tokens[:n_common] == message.tokens[:n_common], (
            f"conflicting tokens in epoch {message.epoch} of {message.request}"
        )
        new_tokens = message.tokens[len(known_tokens) :]
        assert not (new_tokens and replica.is_sealed), "append to a complete answer"
        replica.tokens.extend(new_tokens)
        replica.texts.extend(message.texts[len(known_tokens) :])
        if message.finish_reason:
            replica.finish_reason = message.finish_reason
            replica.end_code = message.end_code or 0
        replica.n_attempts = max(replica.n_attempts, message.n_attempts or 0)
        replica.last_write_ms = monotonic_ms()
        if new_tokens:
            self._account(replica, BYTES_PER_TOKEN * len(new_tokens))
        self._replica_by_request.move_to_end(message.request)

    def _account(self, replica, n_bytes):
        customer = replica.spec.customer if replica.spec else ""
        self.n_bytes += n_bytes
        total = self._bytes_by_customer.get(customer, 0) + n_bytes
        if total > 0:
            self._bytes_by_customer[customer] = total
        else:
            self._bytes_by_customer.pop(customer, None)

    def fence(self, message):
        """Promise an epoch to a new owner and return the replica's contents.

        Nothing is promised if ``only_read`` is set in the message, or if an epoch as
        high is promised already.

        Returns
        -------
        reply : FenceReply
            ``found`` is false if this holder has at most a promised epoch, but nothing
            of the answer. It may have lost the answer in a restart, so it must not
            count towards the quorum of a takeover.
        """
        replica = self._replica_by_request.get(message.request)
        if replica is None and message.request in self._evicted_requests:
            return FenceReply(ANSWER_EVICTED.number, 0, False)
        if replica is None and message.only_read:
            return FenceReply(OK.number, 0, False)
        if replica is None:
            replica = AnswerReplica()
            self._replica_by_request[message.request] = replica
            self._account(replica, replica.n_bytes)
        code = OK
        if not message.only_read:
            if message.epoch <= replica.promised_epoch:
                code = OWNERSHIP_LOST
            else:
                replica.promised_epoch = message.epoch
                replica.last_write_ms = monotonic_ms()
        return self._make_fence_reply(replica, code)

    @staticmethod
    def _make_fence_reply(replica, code):
        return FenceReply(
            code=code.number,
            promised_epoch=replica.promised_epoch,
            found=replica.spec is not None,
            accepted_epoch=replica.accepted_epoch,
            spec=replica.spec,
            tokens=list(replica.tokens),
            texts=list(replica.texts),
            finish_reason=replica.finish_reason,
            holders=list(replica.holders),
            n_attempts=replica.n_attempts,
            end_code=replica.end_code,
        )

    def _evict_to_fit(self, message):
        customer = message.spec.customer
        n_bytes_needed = REPLICA_OVERHEAD_BYTES + len(message.spec.prompt)
        n_bytes_needed += BYTES_PER_TOKEN * len(message.tokens)
        max_customer_bytes = self._max_bytes * MAX_CUSTOMER_SHARE
        while (
            self._bytes_by_customer.get(customer, 0) + n_bytes_needed
            > max_customer_bytes
        ):
            if not self._evict_oldest_complete(customer):
                return False
        while self.n_bytes + n_bytes_needed > self._max_bytes:
            if not self._evict_oldest_complete(None):
                return False
        return True

    def _evict_oldest_complete(self, customer):
        for request, replica in self._replica_by_request.items():
            is_of_customer = customer is None or (
                replica.spec is not None and replica.spec.customer == customer
            )
            if replica.is_sealed and is_of_customer:
                self._evict(request)
                return True
        return False

    def _evict(self, request):
        replica = self._replica_by_request.pop(request)
        self._account(replica, -replica.n_bytes)
        if replica.spec is not None:
            self._evicted_requests[request] = None
            if len(self._evicted_requests) > MAX_EVICTED_REQUESTS:
                self._evicted_requests.popitem(last=False)

    def expire(self, get_retention_ms=None):
        """Evict replicas whose retention period has passed.

        Parameters
        ----------
        get_retention_ms : callable, optional
            Returns the retention period of a customer's complete answers, in ms.
            Default: `COMPLETE_RETENTION_MS` for all customers.
        """
        now_ms = monotonic_ms()
        expired = []
        for request, replica in self._replica_by_request.items():
            if now_ms - replica.last_write_ms > self._retention_ms(
                replica, get_retention_ms
            ):
                expired.append(request)
        for request in expired:
            self._evict(request)

    @staticmethod
    def _retention_ms(replica, get_retention_ms):
        if replica.spec is None:
            return PROMISE_RETENTION_MS
        if not replica.is_sealed:
            return INCOMPLETE_RETENTION_MS
        if get_retention_ms is None:
            return COMPLETE_RETENTION_MS
        return get_retention_ms(replica.spec.customer)
