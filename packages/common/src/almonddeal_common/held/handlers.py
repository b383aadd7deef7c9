"""Handlers by which a process serves its held answers to owners."""

from almonddeal_common.wire.gen.ttypes import AppendBatch, AppendBatchReply, Fence


def held_answer_handlers(store):
    """Return the link handlers for an `AnswerStore`, by message type."""

    async def take_appends(link, message, emit):
        return AppendBatchReply([store.append(append) for append in message.appends])

    async def fence(link, message, emit):
        return store.fence(message)

    return {AppendBatch: take_appends, Fence: fence}
