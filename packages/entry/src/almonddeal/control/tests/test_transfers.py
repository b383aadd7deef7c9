"""Tests of transfers in chunks, and of a leader whose disk stalls."""

from threading import Event

import pytest

from almonddeal.control import transfers
from almonddeal.control.constants import KIND_COMMAND
from almonddeal.control.tests.changing_group import run_group
from almonddeal.control.transfers import (
    ChunkAssembler,
    EntryTransfer,
    SnapshotTransfer,
    add_part,
    add_snapshot_chunk,
)
from almonddeal_common.wire.codec import decode, encode
from almonddeal_common.wire.gen.ttypes import AppendLog, LogEntry, MemberSet, Snapshot

MEMBERS = MemberSet({"x": "a:1"}, 1)


@pytest.fixture(autouse=True)
def small_chunks(monkeypatch):
    monkeypatch.setattr(transfers, "CHUNK_BYTES", 100)


def chunks(state, term=3, index=9):
    transfer = SnapshotTransfer(Snapshot(1, index, 2, state, MEMBERS))
    messages = [transfer.message(term, "x", "y")]
    while not transfer.is_last_chunk:
        transfer.offset += len(transfer.chunk)
        messages.append(transfer.message(term, "x", "y"))
    return messages


def parts(command, term=3, leader="x"):
    transfer = EntryTransfer(LogEntry(2, 9, KIND_COMMAND, command))
    messages = [append_with_part(transfer, term, leader)]
    while not transfer.is_last_chunk:
        transfer.offset += len(transfer.chunk)
        messages.append(append_with_part(transfer, term, leader))
    return messages


def append_with_part(transfer, term, leader):
    message = AppendLog(term, leader, 8, 2, [], 8, "y")
    transfer.add_part(message)
    return decode(AppendLog, encode(message))


class TestChunks:
    @pytest.mark.parametrize("n_bytes", [0, 1, 99, 100, 101, 1000])
    def test_chunks_assemble_to_the_snapshot(self, n_bytes):
        state = bytes(n % 251 for n in range(n_bytes))
        assembler = ChunkAssembler()
        results = [add_snapshot_chunk(assembler, message) for message in chunks(state)]
        assert all(is_in_order for is_in_order, _ in results)
        assert [complete for _, complete in results[:-1]] == [None] * (len(results) - 1)
        complete = results[-1][1]
        assert (complete.state, complete.index, complete.members) == (state, 9, MEMBERS)

    def test_chunk_after_a_missing_one_is_refused(self):
        messages = chunks(b"x" * 350)
        assembler = ChunkAssembler()
        add_snapshot_chunk(assembler, messages[0])
        assert add_snapshot_chunk(assembler, messages[2]) == (False, None)

    def test_snapshot_of_another_leader_restarts_the_assembly(self):
        assembler = ChunkAssembler()
        add_snapshot_chunk(assembler, chunks(b"x" * 350)[0])
        second = chunks(b"y" * 350, term=4)[1]
        assert add_snapshot_chunk(assembler, second) == (False, None)
        results = [
            add_snapshot_chunk(assembler, message)
            for message in chunks(b"y" * 350, term=4)
        ]
        assert results[-1][1].state == b"y" * 350

    def test_single_message_snapshot_of_an_earlier_release(self):
        (message,) = chunks(b"x" * 50)
        message.offset = message.n_bytes = None
        assert add_snapshot_chunk(ChunkAssembler(), message)[1].state == b"x" * 50

    @pytest.mark.parametrize("n_bytes", [101, 200, 1000])
    def test_parts_assemble_to_the_entry(self, n_bytes):
        command = bytes(n % 251 for n in range(n_bytes))
        assembler = ChunkAssembler()
        results = [add_part(assembler, message) for message in parts(command)]
        assert results[:-1] == [None] * (len(results) - 1)
        assert results[-1] == LogEntry(2, 9, KIND_COMMAND, command)

    # Guards against an entry made of the parts of two, at one index of two leaders.
    @pytest.mark.parametrize("changes", [{"term": 4}, {"leader": "z"}])
    def test_part_of_another_leader_restarts_the_assembly(self, changes):
        assembler = ChunkAssembler()
        add_part(assembler, parts(b"x" * 200)[0])
        first, second = parts(b"y" * 200, **changes)
        assert add_part(assembler, second) is None
        assert assembler.n_received_bytes == 0
        add_part(assembler, first)
        assert add_part(assembler, second).command == b"y" * 200

    def test_part_that_arrives_twice_has_no_effect(self):
        first, second, _ = parts(b"x" * 300)
        assembler = ChunkAssembler()
        n_received_bytes = []
        for message in (first, first, second, first):
            add_part(assembler, message)
            n_received_bytes.append(assembler.n_received_bytes)
        assert n_received_bytes == [100, 100, 200, 200]


class TestGroup:
    def test_joining_member_receives_a_snapshot_in_chunks(self, tmp_path, monkeypatch):
        monkeypatch.setattr("almonddeal.control.consensus.SNAPSHOT_INTERVAL_ENTRIES", 5)

        async def test(group):
            for version in range(1, 21):
                await group.publish(version)
            leader = group.leader()
            await leader.consensus.compact()
            assert len(leader.store.snapshot.state) > 300
            await group.kill("b:1" if leader.address != "b:1" else "c:1", wipe=True)
            group.start("d:1")
            await group.wait_version("d:1", 20)

        run_group(tmp_path, test)

    def test_leader_with_a_stalled_disk_steps_down(self, tmp_path):
        async def test(group):
            await group.publish(1)
            stalled = group.leader()
            append = stalled.store.append
            disk_recovered = Event()

            def stalled_append(entries):
                disk_recovered.wait()
                append(entries)

            stalled.store.append = stalled_append
            try:
                # Committed by a new leader while the disk still stalls.
                assert (await group.publish(2)).version_in_force == 2
                assert group.leader() is not stalled
            finally:
                stalled.store.append = append
                disk_recovered.set()
            await group.wait_version(stalled.address, 2)

        run_group(tmp_path, test)
