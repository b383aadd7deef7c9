"""Tests of a control instance whose disk is full for a while."""

import json
import os
import signal
from contextlib import suppress
from functools import partial
from types import SimpleNamespace

import anyio
import pytest

from almonddeal.control import consensus
from almonddeal.control.files import read_checksummed_file
from almonddeal.control.members import Members
from almonddeal.control.tests.faulty_disk import (
    CREATE,
    RENAME,
    SYNC,
    TRUNCATE,
    WRITE,
    Disks,
)
from almonddeal.publication import record_file
from almonddeal.publication.evidence_file import load_evidence
from almonddeal.publication.record_file import RecordFile
from almonddeal.publication.tests.test_follower import make_settings
from almonddeal.roles import control
from almonddeal_common.address import Address
from almonddeal_common.clock import wall_ms
from almonddeal_common.codes import NOT_REACHED, AlmonddealError
from almonddeal_common.virtual_time import run_in_virtual_time
from almonddeal_common.wire.codec import decode
from almonddeal_common.wire.connect import CONNECT_TIMEOUT_S
from almonddeal_common.wire.gen.ttypes import (
    JoinGroup,
    SegmentEvidence,
    Snapshot,
    StreamOrigin,
)

START_S = 10.0
STORE_S = 10.0  # for a change or a record, once the disk has room
N_ROUNDS = 2


class _NoMetrics:
    def __getattr__(self, name):
        return lambda *args: None


async def no_app(scope, receive, send):
    """Accept nothing, as no test calls the application."""


def parse(content):
    """Return a table whose version is the content."""
    return SimpleNamespace(version=int(content))


async def wait_until(condition, *args):
    with anyio.fail_after(STORE_S):
        while not condition(*args):
            await anyio.sleep(0.02)


def are_stored(folder, names):
    """Return whether exactly the records of these names are on disk, in both files."""
    origins = RecordFile(folder, "origins", 0.0).load()
    stored_names = {origin.request for origin in origins}
    return stored_names == names == {record.key for record in load_evidence(folder)}


def stored_version(folder):
    payload = read_checksummed_file(folder / "snapshot")
    state = decode(Snapshot, payload).state
    return json.loads(state)["version"] if state else 0


@pytest.fixture
def unhandled_signals():
    """Signals that would have ended the process."""
    numbers = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
    received = []
    previous = {n: signal.signal(n, lambda n, _: received.append(n)) for n in numbers}
    yield received
    for number, handler in previous.items():
        signal.signal(number, handler)


@pytest.fixture
def role(tmp_path, monkeypatch):
    # Metrics are registered once in a process.
    monkeypatch.setattr(control, "ControlMetrics", _NoMetrics)
    settings = make_settings(["127.81.0.1:7399"])
    settings.link_address = Address("127.81.0.1", 7399)
    settings.control = Address("127.81.0.1", 7398)
    settings.metrics = Address("127.81.0.1", 7397)
    settings.data_folder = str(tmp_path)
    settings.is_bootstrap = True
    reloaded = SimpleNamespace(seed_addresses=["127.81.0.2:7399"])
    return control.ControlRole(settings, parse, lambda: reloaded)


class TestStartOnAFullDisk:
    # Guards against a process that a reload of its settings ends, while its start waits
    # for room on the disk.
    def test_settings_are_reloaded(
        self, tmp_path, monkeypatch, role, unhandled_signals
    ):
        disks = Disks()
        disks.install(monkeypatch)
        disk = disks.disk(tmp_path)
        disk.is_full = True

        async def main():
            async with anyio.create_task_group() as group:
                group.start_soon(role.run, no_app)
                await anyio.sleep(0.5)
                os.kill(os.getpid(), signal.SIGHUP)
                await anyio.sleep(0.1)
                assert role.settings.seed_addresses == ["127.81.0.2:7399"]
                disk.is_full = False
                with anyio.fail_after(START_S):
                    while role.feed is None:
                        await anyio.sleep(0.05)
                await anyio.sleep(0.2)
                os.kill(os.getpid(), signal.SIGTERM)

        anyio.run(main)
        assert unhandled_signals == []
        disks.close()

    # Guards against a process that a stop signal does not end while its start waits.
    def test_stop_signal_ends_the_start(
        self, tmp_path, monkeypatch, role, unhandled_signals
    ):
        disks = Disks()
        disks.install(monkeypatch)
        disks.disk(tmp_path).is_full = True

        async def main():
            with anyio.fail_after(START_S):
                async with anyio.create_task_group() as group:
                    group.start_soon(role.run, no_app)
                    await anyio.sleep(0.5)
                    os.kill(os.getpid(), signal.SIGTERM)

        anyio.run(main)
        assert unhandled_signals == []
        assert role.feed is None
        disks.close()


class TestRunOnAFullDisk:
    # Guards against a task that ends, or waits for ever, after one of its file
    # operations was refused: changes or records are then no longer stored.
    @pytest.mark.parametrize("kind", [CREATE, WRITE, TRUNCATE, SYNC, RENAME])
    def test_changes_and_records_are_stored_once_there_is_room(
        self, tmp_path, monkeypatch, caplog, role, unhandled_signals, kind
    ):
        monkeypatch.setattr(record_file, "RETRY_INTERVAL_S", 0.1)
        monkeypatch.setattr(control, "COMPACT_INTERVAL_S", 0.05)
        monkeypatch.setattr(consensus, "SNAPSHOT_INTERVAL_ENTRIES", 3)
        disks = Disks()
        disks.install(monkeypatch)
        disk = disks.disk(tmp_path)
        disk.refused_kinds = {kind}

        def add_records(number):
            name = f"r{number}"
            role.feed.origins.add(StreamOrigin(name, "s", "v1", wall_ms(), "entry-1"))
            record = SegmentEvidence(name, "entry-1", [name], False, wall_ms())
            role.feed.evidence.add(record)

        async def publish(version):
            with anyio.fail_after(STORE_S):
                while True:
                    try:
                        return await role.publish_configuration(b"%d" % version, "test")
                    except AlmonddealError:
                        await anyio.sleep(0.02)

        async def publish_periodically():
            while True:
                with suppress(AlmonddealError):
                    newest = role._publication.version
                    await role.publish_configuration(b"%d" % (newest + 1), "test")
                await anyio.sleep(0.01)

        async def main():
            async with anyio.create_task_group() as group:
                group.start_soon(role.run, no_app)
                await wait_until(lambda: role.feed is not None)
                await publish(1)
                for number in range(N_ROUNDS):
                    async with anyio.create_task_group() as clients:
                        clients.start_soon(publish_periodically)
                        disk.is_full = True
                        add_records(2 * number)
                        await anyio.sleep(0.5)
                        disk.is_full = False
                        clients.cancel_scope.cancel()
                    await publish(role._publication.version + 1)
                    add_records(2 * number + 1)
                    names = {f"r{n}" for n in range(2 * number + 2)}
                    await wait_until(are_stored, tmp_path, names)
                index = role._publication.version
                await wait_until(lambda: stored_version(tmp_path) >= index - 3)
                os.kill(os.getpid(), signal.SIGTERM)

        anyio.run(main)
        # A record file is never cut.
        for name in ("evidence", "origins"):
            assert (f"could not store {name}" in caplog.text) == (kind != TRUNCATE)
        disks.close()


class TestJoinRequests:
    # Guards against a process in the place of a lost member that waits for each lost
    # machine before it asks the leader again: the group bears no other loss until then.
    def test_unreachable_addresses_delay_no_other(self, role, monkeypatch):
        lost = [f"127.81.0.{n}:7399" for n in (2, 3, 4)]
        reachable = [f"127.81.0.{n}:7399" for n in (5, 6, 7)]
        asked = []

        async def dial(address, hello, handlers):
            asked.append(str(address))
            if str(address) in lost:
                await anyio.sleep(CONNECT_TIMEOUT_S)
            raise AlmonddealError(NOT_REACHED, str(address))

        async def main():
            consensus = SimpleNamespace(
                members=Members({}, 0),
                is_leaderless=True,
                make_join_request=partial(JoinGroup, "name"),
            )
            with anyio.move_on_after(0.9 * CONNECT_TIMEOUT_S):
                await role._join_periodically("name", consensus, anyio.Event())

        monkeypatch.setattr(control, "dial", dial)
        role._hello = None
        role.settings.seed_addresses = lost + reachable
        run_in_virtual_time(main)
        n_rounds = int(0.9 * CONNECT_TIMEOUT_S / control.JOIN_INTERVAL_S)
        assert {asked.count(address) for address in lost} == {1}
        assert all(asked.count(address) >= n_rounds for address in reachable)
