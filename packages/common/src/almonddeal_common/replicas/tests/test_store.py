"""Tests of held answers."""

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
    def test_appends_extend(self):
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

    def test_gap_is_told(self):
        store = AnswerStore()
        store.append(make_append("k:1", 1, 0, [1]))
        assert store.append(make_append("k:1", 1, 5, [6])).length == 1

    def test_unknown_answer_asks_for_the_whole(self):
        result = AnswerStore().append(make_append("k:1", 1, 5, [6]))
        assert result.code == ANSWER_UNKNOWN.number

    def test_old_epoch_is_refused(self):
        store = AnswerStore()
        store.append(make_append("k:1", 1, 0, [1]))
        store.fence(Fence("k:1", 5, False))
        result = store.append(make_append("k:1", 1, 1, [2]))
        assert (result.code, result.epoch) == (OWNERSHIP_LOST.number, 5)
        assert store.fence(Fence("k:1", 4, False)).code == OWNERSHIP_LOST.number

    def test_new_epoch_replaces_what_was_not_chosen(self):
        store = AnswerStore()
        store.append(make_append("k:1", 1, 0, [1, 2, 3]))
        assert store.append(make_append("k:1", 5, 2, [9])).code == ANSWER_UNKNOWN.number
        store.append(make_append("k:1", 5, 0, [1, 9]))
        assert store.get("k:1").tokens == [1, 9]

    def test_two_owners_in_one_epoch_are_an_assertion(self):
        store = AnswerStore()
        store.append(make_append("k:1", 1, 0, [1, 2]))
        with pytest.raises(AssertionError):
            store.append(make_append("k:1", 1, 1, [7]))

    def test_ended_answers_go_first_when_memory_is_short(self):
        store = AnswerStore(max_bytes=8 * store_module.ANSWER_BYTES)
        store.append(make_append("k:1", 1, 0, [1], finish="stop"))
        for number in range(2, 7):
            store.append(make_append(f"m{number}:1", 1, 0, [1]))
        store.append(make_append("n:1", 1, 0, [1]))
        store.append(make_append("o:1", 1, 0, [1]))
        assert store.get("k:1") is None
        reply = store.fence(Fence("k:1", 0, True))
        assert (reply.code, reply.found) == (ANSWER_EVICTED.number, False)

    def test_unfinished_answers_are_never_evicted(self):
        store = AnswerStore(max_bytes=4 * store_module.ANSWER_BYTES)
        codes = [store.append(make_append(f"m{n}:1", 1, 0, [1])).code for n in range(5)]
        assert codes[0] == OK.number
        assert codes[-1] == ANSWER_MEMORY_FULL.number
        assert store.n_bytes <= 4 * store_module.ANSWER_BYTES

    def test_one_customer_cannot_take_all_memory(self):
        store = AnswerStore(max_bytes=10 * store_module.ANSWER_BYTES)
        codes = [store.append(make_append(f"k:{n}", 1, 0, [1])).code for n in range(9)]
        assert codes.count(OK.number) <= 5
        assert store.append(make_append("other:1", 1, 0, [1])).code == OK.number

    def test_memory_is_accounted_to_zero(self, monkeypatch):
        store = AnswerStore()
        for number in range(20):
            store.append(make_append(f"k:{number}", 1, 0, [1] * number, finish="stop"))
            store.append(make_append(f"k:{number}", 9, 0, [1], finish="stop"))
            store.fence(Fence(f"x:{number}", 3, False))
        now_ms = store_module.monotonic_ms()
        monkeypatch.setattr(store_module, "monotonic_ms", lambda: now_ms + 10**9)
        store.expire()
        assert (len(store), store.n_bytes) == (0, 0)
