"""Tests of the rollout controller with targets that vanish and calls that fail."""

import anyio
import pytest

from almonddeal.rollout import controller as controller_module
from almonddeal.rollout.controller import RolloutController
from almonddeal_common.codes import TARGET_REFUSED, AlmonddealError


class Leader:
    """Member that leads and commits every record."""

    is_leader = True
    term = 3

    async def submit(self, command, timeout_ms):
        return None


class Directory:
    """Directory in which a target may be missing."""

    def __init__(self, target_by_name):
        self.target_by_name = target_by_name

    def observed_engines(self):
        return []


class Document:
    version = 1


class Replica:
    document = Document()

    async def wait_newer(self, version):
        await anyio.sleep(0.01)


class Step:
    """Step of a rollout at one target."""

    kind, model, version, role = "load", "draft", "v2", ""

    def __init__(self, target):
        self.target = target


class Target:
    state = None


class FailingLinks:
    """Raises an error each time an order is to be sent."""

    def __init__(self, error):
        self._error = error
        self.n_opened = 0

    async def open(self, state):
        self.n_opened += 1
        raise self._error


@pytest.mark.parametrize(
    ("is_known", "error"),
    [
        pytest.param(False, None, id="vanished target"),
        pytest.param(True, AlmonddealError(TARGET_REFUSED, "busy"), id="refusal"),
        pytest.param(True, KeyError("unexpected"), id="unexpected error"),
    ],
)
def test_failed_step_does_not_end_the_controller(is_known, error, monkeypatch):
    links = FailingLinks(error)
    n_planned = 0

    def plan(document, engines, in_use, busy_targets):
        nonlocal n_planned
        n_planned += 1
        return [] if "t1" in busy_targets else [Step("t1")]

    monkeypatch.setattr(controller_module, "next_steps", plan)
    monkeypatch.setattr(controller_module, "POLL_INTERVAL_S", 0.01)
    monkeypatch.setattr(controller_module, "RETRY_DELAY_S", 0.02)

    async def main():
        directory = Directory({"t1": Target()} if is_known else {})
        controller = RolloutController(
            Leader(), Leader(), Replica(), directory, links, set
        )
        with anyio.move_on_after(0.4):
            await controller.run()

    anyio.run(main)
    assert n_planned > 5
    assert links.n_opened > 1 or not is_known
