"""Tests of snapshot transfer in chunks, and of a leader whose disk stalls."""

from threading import Event

import pytest

from almonddeal.control import snapshots
from almonddeal.control.snapshots import SnapshotAssembler, snapshot_chunks
from almonddeal.control.tests.changing_group import run_group
from almonddeal_common.wire.gen.ttypes import MemberSet, Snapshot

MEMBERS = MemberSet({"x": "a:1"}, 1)


@pytest.fixture(autouse=True)
def small_chunks(monkeypatch):
    monkeypatch.setattr(snapshots, "CHUNK_BYTES", 100)


def chunks(state, term=3, index=9):
    return snapshot_chunks(term, "x", Snapshot(1, index, 2, state, MEMBERS), "y")


class TestChunks:
    @pytest.mark.parametrize("n_bytes", [0, 1, 99, 100, 101, 1000])
    def test_chunks_assemble_to_the_snapshot(self, n_bytes):
        state = bytes(n % 251 for n in range(n_bytes))
        assembler = SnapshotAssembler()
        results = [assembler.add(message) for message in chunks(state)]
        assert all(is_in_order for is_in_order, _ in results)
        assert [complete for _, complete in results[:-1]] == [None] * (len(results) - 1)
        complete = results[-1][1]
        assert (complete.state, complete.index, complete.members) == (state, 9, MEMBERS)

    def test_chunk_after_a_missing_one_is_refused(self):
        messages = chunks(b"x" * 350)
        assembler = SnapshotAssembler()
        assembler.add(messages[0])
        assert assembler.add(messages[2]) == (False, None)

    def test_snapshot_of_another_leader_restarts_the_assembly(self):
        assembler = SnapshotAssembler()
        assembler.add(chunks(b"x" * 350)[0])
        assert assembler.add(chunks(b"y" * 350, term=4)[1]) == (False, None)
        results = [assembler.add(message) for message in chunks(b"y" * 350, term=4)]
        assert results[-1][1].state == b"y" * 350

    def test_single_message_snapshot_of_an_earlier_release(self):
        (message,) = chunks(b"x" * 50)
        message.offset = message.n_bytes = None
        assert SnapshotAssembler().add(message)[1].state == b"x" * 50


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
