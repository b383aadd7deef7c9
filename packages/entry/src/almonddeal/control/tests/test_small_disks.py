"""Tests of the control group on disks that its own files fill."""

import random

import anyio
import pytest

from almonddeal.control.tests.changing_group import SEEDS, ChangingGroup
from almonddeal.control.tests.faulty_disk import Disks
from almonddeal.publication.state import compress_content
from almonddeal_common.wire.gen.ttypes import Command, PublishConfiguration

SMALL_DISK_BYTES = 8 * 1024 * 1024
CONTENT_BYTES = 60_000
ACKNOWLEDGE_S = 8.0  # for a change, once a write was refused


@pytest.fixture
def disks(monkeypatch):
    disks = Disks()
    disks.install(monkeypatch)
    yield disks
    disks.close()


def change_of(version):
    """Return a command with a configuration that cannot be compressed."""
    content = compress_content(random.Random(version).randbytes(CONTENT_BYTES))
    return Command(publish=PublishConfiguration(version, content, "test", 0))


def run_group(folder, addresses, test):
    """Run a test with a group that compacts its logs."""

    async def compact_periodically(group):
        while True:
            await anyio.sleep(0.1)
            for process in group.process_by_address.values():
                await process.consensus.compact()

    async def main():
        async with anyio.create_task_group() as tasks:
            group = ChangingGroup(folder, tasks, addresses)
            for address in addresses:
                group.start(address, is_bootstrap=True)
            await group.publish(1)
            tasks.start_soon(compact_periodically, group)
            await test(group)
            tasks.cancel_scope.cancel()

    anyio.run(main)


class TestSmallDisks:
    # Guards against a log that is compacted by the number of its entries alone: large
    # ones filled all disks, for good, as a snapshot found no room either.
    def test_changes_larger_than_the_disks_are_acknowledged(self, tmp_path, disks):
        n_changes = 3 * SMALL_DISK_BYTES // CONTENT_BYTES

        async def test(group):
            for address in SEEDS:
                disks.disk(tmp_path / address).n_bytes = SMALL_DISK_BYTES
            for version in range(2, n_changes):
                with anyio.fail_after(ACKNOWLEDGE_S):
                    await group.submit(change_of(version))
            for address in SEEDS:
                await group.wait_version(address, n_changes - 1)

        run_group(tmp_path, SEEDS, test)

    # Guards against a disk that stays full, as the snapshot that would make room on it
    # finds none itself.
    def test_disk_without_a_free_byte_has_room_again(self, tmp_path, disks):
        async def test(group):
            for version in range(2, 20):
                await group.submit(change_of(version))
            for address in SEEDS:
                disk = disks.disk(tmp_path / address)
                disk.n_bytes = disk.n_used_bytes
            with anyio.fail_after(ACKNOWLEDGE_S):
                for version in range(20, 40):
                    await group.submit(change_of(version))
            for address in SEEDS:
                await group.wait_version(address, 39)

        run_group(tmp_path, SEEDS, test)
