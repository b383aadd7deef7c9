"""Tests of consensus under kills, network partitions and delays."""

import anyio
import pytest
from anyio.lowlevel import checkpoint

from almonddeal.control.constants import KIND_NO_OP
from almonddeal.control.tests.fakes import FakeGroup, change
from almonddeal_common.codes import AlmonddealError, error_from_wire
from almonddeal_common.wire.gen.ttypes import AppendLog, LogEntry, Vote

N_SEEDS = 3
N_FAULTS = 12
N_SLOW_SEEDS = 8


def run_with_group(folder, seed, test, max_disk_delay_s=0.0):
    async def main():
        async with anyio.create_task_group() as tasks:
            group = FakeGroup(folder, tasks, seed, max_disk_delay_s=max_disk_delay_s)
            group.start_all()
            await test(group)
            tasks.cancel_scope.cancel()

    anyio.run(main)


async def run_other_tasks():
    """Let all other tasks run until they block."""
    for _ in range(10):
        await checkpoint()


async def wait_leader(group, other_than=None):
    with anyio.fail_after(20):
        while True:
            leader = group.leader()
            if leader is not None and leader.name != other_than:
                return leader
            await anyio.sleep(0.02)


async def submit(group, command):
    """Commit a command, retrying with the current leader."""
    with anyio.fail_after(30):
        while True:
            leader = await wait_leader(group)
            try:
                return await leader.consensus.propose(command, 700)
            except AlmonddealError:
                await anyio.sleep(0.05)


async def versions_after_catch_up(group):
    """Return the versions of all members once each has applied the leader's log."""
    leader = await wait_leader(group)
    # Conflicts, so that the version stays; its entry commits all earlier ones.
    await submit(group, change("last", -1))
    with anyio.fail_after(20):
        while True:
            leader = await wait_leader(group)
            index = leader.consensus.commit_index
            members = list(group.member_by_name.values())
            if all(m.consensus.applied_index >= index for m in members):
                return [m.state_machine.document.version for m in members]
            await anyio.sleep(0.02)


class TestConsensus:
    def test_change_reaches_every_member(self, tmp_path):
        async def test(group):
            result = await submit(group, change("a", 0))
            assert result.change.version == 1
            assert await versions_after_catch_up(group) == [1, 1, 1]

        run_with_group(tmp_path, 1, test)

    def test_resent_change_gets_its_first_result_from_a_new_leader(self, tmp_path):
        async def test(group):
            first = await submit(group, change("a", 0))
            for number in range(300):
                await submit(group, change(f"b{number}", number + 1))
            leader = await wait_leader(group)
            await group.kill(leader.name)
            await wait_leader(group, other_than=leader.name)
            again = await submit(group, change("a", 0))
            assert again.change.version == first.change.version == 1

        run_with_group(tmp_path, 2, test)

    def test_member_votes_once_per_term_also_after_a_restart(self, tmp_path):
        async def test(group):
            for name in ("entry1", "entry2"):
                await group.kill(name)
            voter = group.member_by_name["entry0"].consensus
            first = await voter.handle_vote(
                None, Vote(50, "entry1", 99, 50, False), None
            )
            second = await voter.handle_vote(
                None, Vote(50, "entry2", 99, 50, False), None
            )
            await group.kill("entry0")
            group.start("entry0")
            voter = group.member_by_name["entry0"].consensus
            third = await voter.handle_vote(
                None, Vote(50, "entry2", 99, 50, False), None
            )
            again = await voter.handle_vote(
                None, Vote(50, "entry1", 99, 50, False), None
            )
            granted = [v.granted for v in (first, second, third, again)]
            assert granted == [True, False, False, True]

        run_with_group(tmp_path, 5, test)

    def test_candidate_with_a_shorter_log_gets_no_vote(self, tmp_path):
        async def test(group):
            await submit(group, change("a", 0))
            leader = await wait_leader(group)
            term = leader.consensus.term
            vote = Vote(term + 5, "entry9", 0, 0, False)
            reply = await leader.consensus.handle_vote(None, vote, None)
            assert not reply.granted

        run_with_group(tmp_path, 6, test)

    def test_vote_counts_an_entry_written_while_it_waits_for_the_disk(self, tmp_path):
        # Regression: a voter compared the logs before it waited for the disk, which was
        # writing the leader's first entry. It then voted for a candidate without that
        # entry, and a committed entry was lost.
        async def test(group):
            for name in ("entry1", "entry2"):
                await group.kill(name)
            voter = group.member_by_name["entry0"].consensus
            term = voter.term + 5
            entry = LogEntry(term, 1, KIND_NO_OP, b"")
            append = AppendLog(term, "entry1", 0, 0, [entry], 0)
            replies = {}

            async def handle(key, handler, message):
                replies[key] = await handler(None, message, None)

            vote = Vote(term + 1, "entry2", 0, 0, False)
            async with anyio.create_task_group() as tasks, voter.disk_lock:
                tasks.start_soon(handle, "append", voter.handle_append, append)
                await run_other_tasks()
                tasks.start_soon(handle, "vote", voter.handle_vote, vote)
                await run_other_tasks()
            assert replies["append"].ok
            assert not replies["vote"].granted

        run_with_group(tmp_path, 7, test)

    def test_candidate_that_votes_during_its_pre_vote_does_not_stand(self, tmp_path):
        # Regression: it took the term after the one it had voted in, and so deposed the
        # leader that it had just elected.
        async def test(group):
            for name in ("entry1", "entry2"):
                await group.kill(name)
            member = group.member_by_name["entry0"].consensus
            other = Vote(member.term + 1, "entry1", 99, 50, False)

            async def vote_during_pre_vote(term):
                reply = await member.handle_vote(None, other, None)
                assert reply.granted
                return True

            member._wins_pre_vote = vote_during_pre_vote
            await member._start_election()
            assert (member.term, member._voted_for) == (other.term, "entry1")

        run_with_group(tmp_path, 8, test)

    def test_partitioned_leader_cannot_confirm_reads(self, tmp_path):
        async def test(group):
            leader = await wait_leader(group)
            for other in group.names:
                group.partitioned_pairs |= {(leader.name, other), (other, leader.name)}
            with pytest.raises(AlmonddealError):
                await leader.consensus.read_index(500)
            new = await wait_leader(group, other_than=leader.name)
            assert new.consensus.term > leader.consensus.term or (
                not leader.consensus.is_leader
            )

        run_with_group(tmp_path, 3, test)

    def test_restarted_member_catches_up_by_snapshot(self, tmp_path, monkeypatch):
        monkeypatch.setattr(
            "almonddeal.control.consensus.SNAPSHOT_INTERVAL_ENTRIES", 50
        )

        async def test(group):
            leader = await wait_leader(group)
            lagging_name = next(n for n in group.names if n != leader.name)
            await group.kill(lagging_name)
            for number in range(500):
                await submit(group, change(f"c{number}", number))
            await anyio.sleep(0.5)
            group.start(lagging_name)
            assert await versions_after_catch_up(group) == [500, 500, 500]

        run_with_group(tmp_path, 4, test)

    @pytest.mark.parametrize("seed", range(N_SLOW_SEEDS))
    def test_members_with_slow_disks_start_at_the_same_time(self, tmp_path, seed):
        async def test(group):
            for number in range(5):
                await submit(group, change(f"e{number}", number))
            assert await versions_after_catch_up(group) == [5, 5, 5]

        run_with_group(tmp_path, 300 + seed, test, max_disk_delay_s=0.08)

    @pytest.mark.parametrize("max_disk_delay_s", [0.0, 0.05])
    @pytest.mark.parametrize("seed", range(N_SEEDS))
    def test_history_of_changes_is_linearizable_under_faults(
        self, tmp_path, seed, max_disk_delay_s
    ):
        async def test(group):
            history = []
            async with anyio.create_task_group() as clients:
                for number in range(3):
                    clients.start_soon(submit_changes, group, number, history)
                for _ in range(N_FAULTS):
                    await inject_fault(group)
                group.partitioned_pairs.clear()
                group.delayed_pairs.clear()
                await anyio.sleep(1.5)
                clients.cancel_scope.cancel()
            versions = await versions_after_catch_up(group)
            assert len(set(versions)) == 1
            check_linearizable(history, versions[0])

        run_with_group(tmp_path, 100 + seed, test, max_disk_delay_s)


class Operation:
    """One change as its client observed it."""

    def __init__(self, started, ended, base, result):
        self.started = started
        self.ended = ended
        self.base = base
        self.result = result


async def submit_changes(group, number, history):
    """Submit changes in sequence, each based on the version of the previous result."""
    base = 0
    counter = 0
    while True:
        counter += 1
        command = change(f"d{number}x{counter}", base)
        started = anyio.current_time()
        result = (await submit(group, command)).change
        history.append(Operation(started, anyio.current_time(), base, result))
        again = (await submit(group, command)).change
        assert again.version == result.version, "a resent change got another result"
        base = result.version


async def inject_fault(group):
    """Inject one random fault, or end all partitions and delays."""
    name = group.random.choice(group.names)
    kind = group.random.choice(("kill", "partition", "delay", "one way", "end faults"))
    if kind == "kill" and len(group.member_by_name) == len(group.names):
        await group.kill(name)
        await anyio.sleep(group.random.uniform(0.0, 0.8))
        group.start(name)
    elif kind in ("partition", "one way"):
        for other in group.names:
            group.partitioned_pairs.add((name, other))
            if kind == "partition":
                group.partitioned_pairs.add((other, name))
    elif kind == "delay":
        group.delayed_pairs |= {(name, other) for other in group.names}
    else:
        group.partitioned_pairs.clear()
        group.delayed_pairs.clear()
    group.leader()
    await anyio.sleep(group.random.uniform(0.1, 0.9))
    if group.random.random() < 0.5:
        group.partitioned_pairs.clear()
        group.delayed_pairs.clear()


def check_linearizable(history, last_version):
    """Assert that the results are those of one compare-and-set register."""
    accepted = [
        op for op in history if error_from_wire(op.result.code, "").code.name == "OK"
    ]
    by_version = sorted(accepted, key=lambda op: op.result.version)
    versions = [op.result.version for op in by_version]
    assert len(set(versions)) == len(versions), "two changes have one version"
    for op in by_version:
        assert op.result.version == op.base + 1
    for earlier, later in zip(by_version, by_version[1:], strict=False):
        assert earlier.started <= later.ended, "real-time order is violated"
    assert not versions or versions[-1] <= last_version
    for op in history:
        if op not in accepted:
            assert op.result.version > op.base, "a conflict without a newer version"
