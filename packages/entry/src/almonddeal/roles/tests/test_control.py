"""Tests of the start of a control instance."""

import os
import signal
from types import SimpleNamespace

import anyio
import pytest

from almonddeal.control.tests.faulty_disk import Disks
from almonddeal.publication.tests.test_follower import make_settings
from almonddeal.roles import control
from almonddeal_common.address import Address

START_S = 10.0


class _NoMetrics:
    def __getattr__(self, name):
        return lambda *args: None


async def no_app(scope, receive, send):
    """Accept nothing, as no test calls the application."""


def parse(content):
    """Return a table whose version is the content."""
    return SimpleNamespace(version=int(content))


@pytest.fixture
def unhandled_signals():
    """Signals that would have ended the process."""
    numbers = (signal.SIGHUP, signal.SIGTERM)
    received = []
    previous = {n: signal.signal(n, lambda n, _: received.append(n)) for n in numbers}
    yield received
    for number, handler in previous.items():
        signal.signal(number, handler)


@pytest.fixture
def role(tmp_path, monkeypatch):
    # Metrics are registered once in a process.
    monkeypatch.setattr(control, "ControlMetrics", _NoMetrics)
    settings = make_settings(["127.79.0.1:7399"])
    settings.link_address = Address("127.79.0.1", 7399)
    settings.control = Address("127.79.0.1", 7398)
    settings.metrics = Address("127.79.0.1", 7397)
    settings.data_folder = str(tmp_path)
    settings.is_bootstrap = True
    reloaded = SimpleNamespace(seed_addresses=["127.79.0.2:7399"])
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
                assert role.settings.seed_addresses == ["127.79.0.2:7399"]
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
