"""Tests of snapshots in pieces, and of a leader whose disk stalls."""

from threading import Event

import pytest

from almonddeal.control import snapshots
from almonddeal.control.snapshots import SnapshotAssembly, snapshot_pieces
from almonddeal.control.tests.changing_group import run_group
from almonddeal_common.wire.gen.ttypes import MemberSet, Snapshot

MEMBERS = MemberSet({"x": "a:1"}, 1)


@pytest.fixture(autouse=True)
def short_pieces(monkeypatch):
    monkeypatch.setattr(snapshots, "PIECE_BYTES", 100)


def pieces(state, term=3, index=9):
    return snapshot_pieces(term, "x", Snapshot(1, index, 2, state, MEMBERS), "y")


class TestPieces:
    @pytest.mark.parametrize("n_bytes", [0, 1, 99, 100, 101, 1000])
    def test_pieces_make_the_whole(self, n_bytes):
        state = bytes(n % 251 for n in range(n_bytes))
        assembly = SnapshotAssembly()
        results = [assembly.add(message) for message in pieces(state)]
        assert all(is_in_order for is_in_order, _ in results)
        assert [whole for _, whole in results[:-1]] == [None] * (len(results) - 1)
        whole = results[-1][1]
        assert (whole.state, whole.index, whole.members) == (state, 9, MEMBERS)

    def test_missing_piece_is_refused(self):
        messages = pieces(b"x" * 350)
        assembly = SnapshotAssembly()
        assembly.add(messages[0])
        assert assembly.add(messages[2]) == (False, None)

    def test_other_leader_starts_anew(self):
        assembly = SnapshotAssembly()
        assembly.add(pieces(b"x" * 350)[0])
        assert assembly.add(pieces(b"y" * 350, term=4)[1]) == (False, None)
        results = [assembly.add(message) for message in pieces(b"y" * 350, term=4)]
        assert results[-1][1].state == b"y" * 350

    def test_whole_snapshot_of_an_earlier_release(self):
        (message,) = pieces(b"x" * 50)
        message.offset = message.n_bytes = None
        assert SnapshotAssembly().add(message)[1].state == b"x" * 50


class TestGroup:
    def test_joining_member_gets_a_snapshot_in_pieces(self, tmp_path, monkeypatch):
        monkeypatch.setattr("almonddeal.control.consensus.SNAPSHOT_EVERY_ENTRIES", 5)

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

    def test_leader_with_a_stalled_disk_leaves_the_lead(self, tmp_path):
        async def test(group):
            await group.publish(1)
            stalled = group.leader()
            append = stalled.store.append
            works_again = Event()

            def stall(entries):
                works_again.wait()
                append(entries)

            stalled.store.append = stall
            try:
                # Agreed on while the disk still stalls, whatever time elections take.
                assert (await group.publish(2)).version_in_force == 2
                assert group.leader() is not stalled
            finally:
                stalled.store.append = append
                works_again.set()
            await group.wait_version(stalled.address, 2)

        run_group(tmp_path, test)
