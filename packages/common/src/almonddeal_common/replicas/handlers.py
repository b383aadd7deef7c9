"""Handlers by which a process serves its held answers to owners."""

from almonddeal_common.wire.gen.ttypes import AppendBatch, AppendBatchReply, Fence


def answer_replica_handlers(store):
    """Return the link handlers for an `AnswerStore`, by message type."""

    def take_appends(message):
        return AppendBatchReply([store.append(append) for append in message.appends])

    return {AppendBatch: take_appends, Fence: store.fence}
