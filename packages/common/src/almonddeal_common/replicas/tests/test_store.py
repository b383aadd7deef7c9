"""Tests of answer replicas: appends, epochs, eviction and accounting."""

import pytest

from almonddeal_common.codes import (
    ANSWER_EVICTED,
    ANSWER_MEMORY_FULL,
    ANSWER_UNKNOWN,
    OK,
    OWNERSHIP_LOST,
)
from almonddeal_common.replicas import store as store_module
from almonddeal_common.replicas.store import AnswerStore
from almonddeal_common.wire.gen.ttypes import AnswerSpec, Append, Fence


def make_spec(request, prompt="p"):
    customer = request.partition(":")[0]
    return AnswerSpec(request=request, customer=customer, prompt=prompt)


def make_append(request, epoch, index, tokens, finish="", spec=True):
    return Append(
        request=request,
        epoch=epoch,
        index=index,
        tokens=tokens,
        texts=[str(t) for t in tokens],
        finish_reason=finish,
        spec=make_spec(request) if spec and index == 0 else None,
        holders=["a"],
    )


class TestAnswerStore:
    def test_append_extends_the_answer(self):
        store = AnswerStore()
        store.append(make_append("k:1", 1, 0, [1, 2]))
        result = store.append(make_append("k:1", 1, 2, [3]))
        assert (result.code, result.length) == (OK.number, 3)
        assert store.get("k:1").tokens == [1, 2, 3]

    def test_repeated_append_changes_nothing(self):
        store = AnswerStore()
        store.append(make_append("k:1", 1, 0, [1, 2, 3]))
        store.append(make_append("k:1", 1, 1, [2, 3]))
        store.append(make_append("k:1", 1, 0, [1]))
        assert store.get("k:1").tokens == [1, 2, 3]

    def test_gap_returns_the_length_held(self):
        store = AnswerStore()
        store.append(make_append("k:1", 1, 0, [1]))
        assert store.append(make_append("k:1", 1, 5, [6])).length == 1

    def test_append_without_replica_is_rejected(self):
        result = AnswerStore().append(make_append("k:1", 1, 5, [6]))
        assert result.code == ANSWER_UNKNOWN.number

    def test_lower_epoch_is_rejected(self):
        store = AnswerStore()
        store.append(make_append("k:1", 1, 0, [1]))
        store.fence(Fence("k:1", 5, False))
        result = store.append(make_append("k:1", 1, 1, [2]))
        assert (result.code, result.epoch) == (OWNERSHIP_LOST.number, 5)
        assert store.fence(Fence("k:1", 4, False)).code == OWNERSHIP_LOST.number

    def test_new_epoch_replaces_the_replica(self):
        store = AnswerStore()
        store.append(make_append("k:1", 1, 0, [1, 2, 3]))
        assert store.append(make_append("k:1", 5, 2, [9])).code == ANSWER_UNKNOWN.number
        store.append(make_append("k:1", 5, 0, [1, 9]))
        assert store.get("k:1").tokens == [1, 9]

    def test_conflicting_tokens_in_one_epoch_raise(self):
        store = AnswerStore()
        store.append(make_append("k:1", 1, 0, [1, 2]))
        with pytest.raises(AssertionError):
            store.append(make_append("k:1", 1, 1, [7]))

    def test_complete_answers_are_evicted_first(self):
        store = AnswerStore(max_bytes=8 * store_module.REPLICA_OVERHEAD_BYTES)
        store.append(make_append("k:1", 1, 0, [1], finish="stop"))
        for number in range(2, 7):
            store.append(make_append(f"m{number}:1", 1, 0, [1]))
        store.append(make_append("n:1", 1, 0, [1]))
        store.append(make_append("o:1", 1, 0, [1]))
        assert store.get("k:1") is None
        reply = store.fence(Fence("k:1", 0, True))
        assert (reply.code, reply.found) == (ANSWER_EVICTED.number, False)

    def test_incomplete_answers_are_never_evicted(self):
        store = AnswerStore(max_bytes=4 * store_module.REPLICA_OVERHEAD_BYTES)
        codes = [store.append(make_append(f"m{n}:1", 1, 0, [1])).code for n in range(5)]
        assert codes[0] == OK.number
        assert codes[-1] == ANSWER_MEMORY_FULL.number
        assert store.n_bytes <= 4 * store_module.REPLICA_OVERHEAD_BYTES

    def test_one_customer_cannot_use_all_memory(self):
        store = AnswerStore(max_bytes=10 * store_module.REPLICA_OVERHEAD_BYTES)
        codes = [store.append(make_append(f"k:{n}", 1, 0, [1])).code for n in range(9)]
        assert codes.count(OK.number) <= 5
        assert store.append(make_append("other:1", 1, 0, [1])).code == OK.number

    def test_accounted_memory_returns_to_zero(self, monkeypatch):
        store = AnswerStore()
        for number in range(20):
            store.append(make_append(f"k:{number}", 1, 0, [1] * number, finish="stop"))
            store.append(make_append(f"k:{number}", 9, 0, [1], finish="stop"))
            store.fence(Fence(f"x:{number}", 3, False))
        now_ms = store_module.monotonic_ms()
        monkeypatch.setattr(store_module, "monotonic_ms", lambda: now_ms + 10**9)
        store.expire()
        assert (len(store), store.n_bytes) == (0, 0)
