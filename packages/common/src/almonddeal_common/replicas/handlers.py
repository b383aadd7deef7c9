"""Link handlers with which a holder serves its replicas to their owners."""

from almonddeal_common.wire.gen.ttypes import AppendBatch, AppendBatchReply, Fence


def answer_replica_handlers(store):
    """Return the link handlers of an `AnswerStore` by message type."""

    def handle_append_batch(message):
        return AppendBatchReply([store.append(append) for append in message.appends])

    return {AppendBatch: handle_append_batch, Fence: store.fence}
