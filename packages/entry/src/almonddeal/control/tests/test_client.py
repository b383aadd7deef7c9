"""Tests of a client whose leader is lost without a sign as another one is elected."""

import anyio
import pytest

from almonddeal.control.client import ControlClient
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    CHANGE_OUTCOME_UNKNOWN,
    DEADLINE,
    NOT_LEADER,
    OK,
    AlmonddealError,
)
from almonddeal_common.virtual_time import run_in_virtual_time
from almonddeal_common.wire.gen.ttypes import (
    Command,
    CommandResult,
    Propose,
    ProposeReply,
    ReadFreshReply,
)

ELECTED_AFTER_S = 0.1
ANSWER_S = 0.4  # after the call, with three tries


class FollowingMember:
    """Member that does not lead."""

    is_leader = False
    term = 1
    leader = "a"

    async def wait_applied(self, index, timeout_ms):
        return True


class LostPeer:
    """Peer whose machine is gone; its link is open until its silence shows that."""

    name = "a"
    is_up = True

    async def call(self, message, timeout_ms):
        await anyio.sleep(timeout_ms / 1000)
        raise AlmonddealError(DEADLINE, "no reply")


class LeadingPeer:
    """Peer that leads."""

    name = "b"
    is_up = True

    async def call(self, message, timeout_ms):
        await anyio.sleep(0.005)
        if isinstance(message, Propose):
            return ProposeReply(OK.number, CommandResult(OK.number), "b")
        return ReadFreshReply(OK.number, 1, "b", 2)


class RefusingPeer:
    """Peer that does not lead any more."""

    name = "b"
    is_up = True

    async def call(self, message, timeout_ms):
        await anyio.sleep(0.005)
        return ProposeReply(NOT_LEADER.number, None, "")


class TestLostLeader:
    # Guards against a call that waits for a lost leader until its time limit, while
    # this process knows already that another member leads.
    @pytest.mark.parametrize("what", ["refresh", "submit"])
    def test_call_goes_to_the_new_leader(self, what):
        async def main():
            member = FollowingMember()
            client = ControlClient(
                "c", member, {"a": LostPeer(), "b": LeadingPeer()}, None
            )

            async def elect():
                await anyio.sleep(ELECTED_AFTER_S)
                member.leader = "b"

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(elect)
                started_ms = monotonic_ms()
                if what == "refresh":
                    await client.refresh_with_retries(2000)
                else:
                    await client.submit(Command(), 900)
                assert monotonic_ms() - started_ms < ANSWER_S * 1000

        run_in_virtual_time(main)

    # Guards against a command that is reported as never proposed, though the lost
    # leader may have proposed it.
    def test_outcome_is_unknown_after_a_call_that_ended_early(self):
        async def main():
            member = FollowingMember()
            client = ControlClient(
                "c", member, {"a": LostPeer(), "b": RefusingPeer()}, None
            )

            async def elect():
                await anyio.sleep(ELECTED_AFTER_S)
                member.leader = "b"

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(elect)
                with pytest.raises(AlmonddealError) as raised:
                    await client.submit(Command(), 900)
            assert raised.value.code == CHANGE_OUTCOME_UNKNOWN

        run_in_virtual_time(main)
