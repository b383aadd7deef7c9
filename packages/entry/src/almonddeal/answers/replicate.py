"""Replication of answers to their holders: a task per holder, batched appends."""

import anyio

from almonddeal_common.codes import (
    ANSWER_MEMORY_FULL,
    ANSWER_UNKNOWN,
    OK,
    OWNERSHIP_LOST,
    AlmonddealError,
)
from almonddeal_common.wire.gen.ttypes import Append, AppendBatch

RETRY_S = 0.03
MAX_BATCH_TOKENS = 20_000


def make_append(answer, holder):
    """Return the `Append` of all that a holder is to receive next."""
    index = answer.next_index_by_holder.get(holder, 0)
    message = Append(
        request=answer.spec.request,
        epoch=answer.epoch,
        index=index,
        tokens=answer.tokens[index:],
        texts=answer.texts[index:],
        finish_reason=answer.finish_reason,
        end_code=answer.end_code,
        n_attempts=answer.n_attempts,
    )
    if index == 0:
        message.spec = answer.spec
        message.holders = answer.holders
    return message


def apply_append_result(answer, holder, result):
    """Apply a holder's `AppendResult` to the state of an answer.

    Returns
    -------
    must_send : bool
        Whether more has to be sent to the holder.
    """
    if result.code == OWNERSHIP_LOST.number:
        # A repair by this owner has the holders promise its new epoch before it
        # appends under it; such a promise is not a loss of ownership.
        if result.epoch > max(answer.epoch, answer.pending_epoch):
            answer.mark_superseded(result.epoch)
        return False
    if result.epoch != answer.epoch:
        # The result of an append under an earlier epoch of this owner.
        return True
    if result.code == ANSWER_UNKNOWN.number:
        answer.next_index_by_holder[holder] = 0
        return True
    if result.code == ANSWER_MEMORY_FULL.number:
        answer.holders_without_memory.add(holder)
        answer.notify_changed()
        return False
    assert result.code == OK.number, result
    n_positions = result.length + bool(result.sealed)
    answer.next_index_by_holder[holder] = result.length
    answer.record_ack(holder, n_positions)
    return n_positions < answer.n_positions


class Replicator:
    """Replicates the answers that this instance owns to their holders.

    Parameters
    ----------
    name : str
        Name of this instance, whose own replicas need no link.
    store : AnswerStore
        Replicas held by this instance.
    link_to : callable
        Maps the name of an instance to the open `Link`, or raises `AlmonddealError`.
    group : anyio.abc.TaskGroup
        Runs one task per holder.
    """

    def __init__(self, name, store, link_to, group):
        self._name = name
        self._store = store
        self._link_to = link_to
        self._group = group
        self._pending_by_holder = {}
        self._wake_by_holder = {}

    def replicate(self, answer):
        """Start sending new tokens of an answer to all its holders, without waiting."""
        for holder in answer.all_holders:
            if holder == self._name:
                self._append_locally(answer)
            else:
                self._enqueue(answer, holder)

    def resend(self, answer):
        """Send an answer to all its holders from the beginning."""
        answer.next_index_by_holder.clear()
        self.replicate(answer)

    def _append_locally(self, answer):
        while answer.error is None:
            result = self._store.append(make_append(answer, self._name))
            if not apply_append_result(answer, self._name, result):
                return

    def _enqueue(self, answer, holder):
        if holder not in self._pending_by_holder:
            self._pending_by_holder[holder] = {}
            self._wake_by_holder[holder] = anyio.Event()
            self._group.start_soon(self._replicate_to_holder, holder)
        self._pending_by_holder[holder][answer.spec.request] = answer
        self._wake_by_holder[holder].set()

    async def _replicate_to_holder(self, holder):
        while True:
            await self._wake_by_holder[holder].wait()
            self._wake_by_holder[holder] = anyio.Event()
            batch = self._dequeue_batch(holder)
            if not batch:
                continue
            try:
                await self._send_batch(holder, batch)
            except AlmonddealError:
                await anyio.sleep(RETRY_S)
                self._requeue_batch(holder, batch)

    def _dequeue_batch(self, holder):
        pending = self._pending_by_holder[holder]
        batch = []
        n_tokens = 0
        while pending and n_tokens < MAX_BATCH_TOKENS:
            answer = pending.pop(next(iter(pending)))
            if answer.error is None and holder in answer.all_holders:
                batch.append(answer)
                n_tokens += len(answer.tokens) - answer.next_index_by_holder.get(
                    holder, 0
                )
        if pending:
            self._wake_by_holder[holder].set()
        return batch

    async def _send_batch(self, holder, batch):
        link = self._link_to(holder)
        message = AppendBatch([make_append(answer, holder) for answer in batch])
        reply = await link.call(message)
        for answer, result in zip(batch, reply.results, strict=True):
            if answer.error is None and apply_append_result(answer, holder, result):
                self._enqueue(answer, holder)

    def _requeue_batch(self, holder, batch):
        for answer in batch:
            # The holder may or may not have applied the batch: resend from the
            # first token not acknowledged. One that restarted replies `ANSWER_UNKNOWN`.
            answer.next_index_by_holder[holder] = (
                answer.n_acked_positions_by_holder.get(holder, 0)
            )
            answer.next_index_by_holder[holder] = min(
                answer.next_index_by_holder[holder], len(answer.tokens)
            )
            self._enqueue(answer, holder)
