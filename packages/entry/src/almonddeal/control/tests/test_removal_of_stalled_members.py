"""Tests of the replacement of a member whose disk stalls for good."""

from threading import Event

from almonddeal.control.tests.changing_group import SEEDS, run_group


class TestStalledMember:
    # Guards against a member that stays a voter as it replies to heartbeats, though its
    # disk stalls and another one has taken its place: the group needs all others.
    def test_replaced_member_is_removed(self, tmp_path):
        disk_recovered = Event()

        async def test(group):
            await group.publish(1)
            leader = group.leader()
            stalled, other = (a for a in SEEDS if a != leader.address)
            store = group.process_by_address[stalled].store
            append = store.append

            def stalled_append(entries):
                disk_recovered.wait()
                append(entries)

            store.append = stalled_append
            try:
                await group.publish(2)
                group.start("d:1")
                await group.wait_voters([leader.address, other, "d:1"])
            finally:
                disk_recovered.set()

        run_group(tmp_path, test)
