"""Sending answers to their holders: one task a holder, many answers a message."""

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
    """Return the `Append` that brings a holder up to date."""
    index = answer.sent_by_holder.get(holder, 0)
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


def note_result(answer, holder, result):
    """Take a holder's `AppendResult`; returns whether more must be sent to it."""
    if result.code == OWNERSHIP_LOST.number:
        # A repair in progress raises this owner's own epoch at the holders first.
        if result.epoch > max(answer.epoch, answer.pending_epoch):
            answer.lose(result.epoch)
        return False
    if result.epoch != answer.epoch:
        return True
    if result.code == ANSWER_UNKNOWN.number:
        answer.sent_by_holder[holder] = 0
        return True
    if result.code == ANSWER_MEMORY_FULL.number:
        answer.full_holders.add(holder)
        answer.notify_changed()
        return False
    assert result.code == OK.number, result
    n_positions = result.length + bool(result.sealed)
    answer.sent_by_holder[holder] = result.length
    answer.note_ack(holder, n_positions)
    return n_positions < answer.n_positions


class Replicator:
    """Keeps the holders of all answers of this owner up to date.

    Parameters
    ----------
    name : str
        This instance; it holds answers without a link.
    store : AnswerStore
        Answers held here.
    link_to : callable
        Returns the open `Link` to an instance, or raises `AlmonddealError`.
    group : anyio.abc.TaskGroup
        Runs one task a holder.
    """

    def __init__(self, name, store, link_to, group):
        self._name = name
        self._store = store
        self._link_to = link_to
        self._group = group
        self._dirty_by_holder = {}
        self._wake_by_holder = {}

    def spread(self, answer):
        """Bring every holder of an answer up to date, without waiting."""
        for holder in answer.all_holders:
            if holder == self._name:
                self._append_here(answer)
            else:
                self._mark(answer, holder)

    def resend(self, answer):
        """Send an answer to all its holders from the beginning."""
        answer.sent_by_holder.clear()
        self.spread(answer)

    def _append_here(self, answer):
        while answer.error is None:
            result = self._store.append(make_append(answer, self._name))
            if not note_result(answer, self._name, result):
                return

    def _mark(self, answer, holder):
        if holder not in self._dirty_by_holder:
            self._dirty_by_holder[holder] = {}
            self._wake_by_holder[holder] = anyio.Event()
            self._group.start_soon(self._serve_holder, holder)
        self._dirty_by_holder[holder][answer.spec.request] = answer
        self._wake_by_holder[holder].set()

    async def _serve_holder(self, holder):
        while True:
            await self._wake_by_holder[holder].wait()
            self._wake_by_holder[holder] = anyio.Event()
            batch = self._take_batch(holder)
            if not batch:
                continue
            try:
                await self._send_batch(holder, batch)
            except AlmonddealError:
                await anyio.sleep(RETRY_S)
                self._return_batch(holder, batch)

    def _take_batch(self, holder):
        dirty = self._dirty_by_holder[holder]
        batch = []
        n_tokens = 0
        while dirty and n_tokens < MAX_BATCH_TOKENS:
            answer = dirty.pop(next(iter(dirty)))
            if answer.error is None and holder in answer.all_holders:
                batch.append(answer)
                n_tokens += len(answer.tokens) - answer.sent_by_holder.get(holder, 0)
        if dirty:
            self._wake_by_holder[holder].set()
        return batch

    async def _send_batch(self, holder, batch):
        link = self._link_to(holder)
        message = AppendBatch([make_append(answer, holder) for answer in batch])
        reply = await link.call(message)
        for answer, result in zip(batch, reply.results, strict=True):
            if answer.error is None and note_result(answer, holder, result):
                self._mark(answer, holder)

    def _return_batch(self, holder, batch):
        for answer in batch:
            # What the holder has is unknown now; a holder that lost its memory says so.
            answer.sent_by_holder[holder] = answer.acked_by_holder.get(holder, 0)
            answer.sent_by_holder[holder] = min(
                answer.sent_by_holder[holder], len(answer.tokens)
            )
            self._mark(answer, holder)
