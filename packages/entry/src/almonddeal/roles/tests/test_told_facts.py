"""Tests of what instances tell each other of targets, in virtual time."""

import random

import anyio
import pytest

from almonddeal.announced.pause_reports import MAX_REPORTED_MS
from almonddeal.relay.plain import relay_plain
from almonddeal.relay.tests.announcements import make_announcement
from almonddeal.relay.tests.fakes import (
    FakeResponseWriter,
    ResponseHead,
    admit_plain,
    make_route,
    responds,
    responds_with_head,
)
from almonddeal.roles.tests.linked_instances import LinkedInstances
from almonddeal.routing.model import LOOKUP, ORDER
from almonddeal_common.codes import OVERLOADED, AlmonddealError
from almonddeal_common.virtual_time import run_in_virtual_time

TOLD_MS = 300.0
POLL_S = 0.001
MAX_REPORT_BYTES = 100
MAX_REPORTS_PER_S = 4  # of an instance, and to it, of the pauses of a target
N_CHOICES = 30  # chance has two equal targets chosen
SIZES = pytest.mark.parametrize("n_instances", [5, 28, 68])


async def relay(role, kind=LOOKUP):
    """Relay one request at an instance; return the writer of its response."""
    writer = FakeResponseWriter()
    route = make_route(kind, max_attempts=2)
    try:
        await relay_plain(admit_plain(route), role._relay_context, writer)
    except AlmonddealError as error:
        writer.error = error
    return writer


async def told_ms(linked, knows, limit_s=1.0):
    """Return the time in ms until all instances know something, or infinity."""
    started_s = anyio.current_time()
    while not all(map(knows, linked.roles)):
        if anyio.current_time() - started_s > limit_s:
            return float("inf")
        await anyio.sleep(POLL_S)
    return 1000 * (anyio.current_time() - started_s)


def eject(role, target_id):
    """Have one instance use another target than this one, if there is any."""
    context = role._relay_context
    context.targets.eject(context.targets.get(target_id), "x", "y")


def is_out(role, target_id="i-1"):
    targets = role._relay_context.targets
    return not targets.is_usable(targets.get(target_id))


def prefers_others(role, target_id="i-1"):
    """Tell whether an instance chooses other targets than this one."""
    context = role._relay_context
    return target_id not in {
        context.choose_plain(context.candidates("s")).announcement.target
        for _ in range(N_CHOICES)
    }


class TestPauses:
    """Pattern: i-1 rejects each request with 503 and asks for a pause."""

    def linked(self, n_instances, monkeypatch, others=("i-2",), pause_ms=3000.0):
        head = ResponseHead(503, is_not_run=True, retry_after_ms=pause_ms)
        behaviours = {"i-1": responds_with_head(head)}
        behaviours.update(dict.fromkeys(others, responds()))
        return LinkedInstances(n_instances, behaviours, monkeypatch)

    async def learn(self, linked):
        """Have the first instance be asked for the pause."""
        first = linked.roles[0]
        if "i-2" in linked.fleet.behaviour_by_target:
            eject(first, "i-2")
        await relay(first)
        assert linked.fleet.tried.count("i-1") == 1

    @SIZES
    def test_all_instances_prefer_others_in_time(self, n_instances, monkeypatch):
        async def main():
            async with self.linked(n_instances, monkeypatch).connected() as linked:
                await self.learn(linked)
                return await told_ms(linked, prefers_others)

        took_ms = run_in_virtual_time(main)
        print(f"{n_instances} instances know of a pause: {took_ms:.0f} ms")
        assert took_ms <= TOLD_MS

    # Guards against a rejected attempt at each instance.
    @SIZES
    @pytest.mark.parametrize("kind", [LOOKUP, ORDER])
    def test_no_other_instance_tries_the_target(self, n_instances, kind, monkeypatch):
        async def main():
            async with self.linked(n_instances, monkeypatch).connected() as linked:
                await self.learn(linked)
                await anyio.sleep(TOLD_MS / 1000)
                writers = [await relay(role, kind) for role in linked.roles * 3]
                assert [w.status for w in writers] == [200] * len(writers)
                return linked.fleet.tried.count("i-1")

        n_attempts = run_in_virtual_time(main)
        print(f"{n_instances} instances, {kind}: {n_attempts} attempts at the target")
        assert n_attempts == 1

    # Guards against a service that is turned away by instances that nobody asked.
    @SIZES
    def test_only_target_is_used_by_the_other_instances(self, n_instances, monkeypatch):
        async def main():
            linked = self.linked(n_instances, monkeypatch, others=())
            async with linked.connected():
                await self.learn(linked)
                linked.fleet.behaviour_by_target["i-1"] = responds()
                await anyio.sleep(TOLD_MS / 1000)
                writers = [await relay(role) for role in linked.roles[1:]]
                asked = await relay(linked.roles[0])
                return [w.status for w in writers], asked

        statuses, asked = run_in_virtual_time(main)
        assert statuses == [200] * (n_instances - 1)
        assert asked.error.code == OVERLOADED

    def test_target_is_used_alike_once_the_pause_is_over(self, monkeypatch):
        async def main():
            async with self.linked(5, monkeypatch).connected() as linked:
                await self.learn(linked)
                await anyio.sleep(1.0)
                assert all(map(prefers_others, linked.roles))
                await anyio.sleep(2.1)
                # The first one had a failure there.
                return any(map(prefers_others, linked.roles[1:]))

        assert not run_in_virtual_time(main)

    # Guards against a mistaken value that takes a target out at all instances for long.
    def test_long_pause_is_told_for_some_seconds_only(self, monkeypatch):
        async def main():
            linked = self.linked(5, monkeypatch, pause_ms=3_600_000.0)
            async with linked.connected():
                await self.learn(linked)
                await anyio.sleep(MAX_REPORTED_MS / 1000 + 0.1)
                return list(map(prefers_others, linked.roles))

        assert run_in_virtual_time(main) == [True] + [False] * 4

    # Guards against reports without end while a target rejects all.
    @SIZES
    def test_bytes_are_bounded_while_all_are_rejected(self, n_instances, monkeypatch):
        async def main():
            linked = self.linked(n_instances, monkeypatch, others=(), pause_ms=1000.0)
            async with linked.connected():
                before = linked.n_sent_bytes, linked.n_received_bytes
                await anyio.sleep(1.0)
                quiet = linked.n_received_bytes - before[1]
                assert linked.n_sent_bytes == before[0]
                started_s = anyio.current_time()
                while anyio.current_time() - started_s < 10.0:
                    for role in linked.roles:
                        await relay(role)
                    await anyio.sleep(0.05)
                received = linked.n_received_bytes - before[1] - quiet
                took_s = anyio.current_time() - started_s
                sent = linked.n_sent_bytes - before[0]
                return sent / took_s, received / took_s - quiet

        sent, received = run_in_virtual_time(main)
        print(
            f"{n_instances} instances, all rejected: {sent:.0f} bytes a second sent, "
            f"{received:.0f} received"
        )
        assert 0 < sent <= MAX_REPORTS_PER_S * MAX_REPORT_BYTES * n_instances
        assert received <= 2 * MAX_REPORTS_PER_S * MAX_REPORT_BYTES * n_instances


class TestLeaving:
    """Pattern: i-1 says in its responses that it leaves, and rejects requests.

    Its announcements say that it is ready.
    """

    def linked(self, n_instances, monkeypatch):
        head = ResponseHead(503, is_not_run=True, is_leaving=True)
        behaviours = {"i-1": responds_with_head(head), "i-2": responds()}
        return LinkedInstances(n_instances, behaviours, monkeypatch)

    async def learn(self, linked):
        """Have the first instance receive the response."""
        eject(linked.roles[0], "i-2")
        await relay(linked.roles[0])
        assert linked.fleet.tried.count("i-1") == 1

    # Guards against a rejected attempt at each instance.
    @SIZES
    def test_all_instances_know_in_time(self, n_instances, monkeypatch):
        async def main():
            async with self.linked(n_instances, monkeypatch).connected() as linked:
                await self.learn(linked)
                return await told_ms(linked, is_out)

        took_ms = run_in_virtual_time(main)
        print(f"{n_instances} instances know that a target leaves: {took_ms:.0f} ms")
        assert took_ms <= TOLD_MS

    @SIZES
    @pytest.mark.parametrize("kind", [LOOKUP, ORDER])
    def test_no_other_instance_tries_the_target(self, n_instances, kind, monkeypatch):
        async def main():
            async with self.linked(n_instances, monkeypatch).connected() as linked:
                await self.learn(linked)
                await anyio.sleep(TOLD_MS / 1000)
                for role in linked.roles * 3:
                    await relay(role, kind)
                return linked.n_attempts_by_instance

        n_attempts_by_instance = run_in_virtual_time(main)
        n_attempts = sum(
            n for (_, target), n in n_attempts_by_instance.items() if target == "i-1"
        )
        print(f"{n_instances} instances, {kind}: {n_attempts} attempts at the target")
        assert n_attempts == 1

    @SIZES
    def test_bytes_are_bounded(self, n_instances, monkeypatch):
        """Guards against reports that are repeated, or sent without news."""

        async def main():
            async with self.linked(n_instances, monkeypatch).connected() as linked:
                quiet = await self.bytes_of_a_second(linked)
                sent, received = linked.n_sent_bytes, linked.n_received_bytes
                await self.learn(linked)
                await anyio.sleep(1.0)
                received = linked.n_received_bytes - received - quiet[1]
                told = await self.bytes_of_a_second(linked)
                sent = linked.n_sent_bytes - sent
                n_sent_bytes = linked.n_sent_bytes
                for role in linked.roles:
                    await relay(role)
                await anyio.sleep(1.0)
                n_further_bytes = linked.n_sent_bytes - n_sent_bytes
                return quiet, told, sent, received, n_further_bytes

        quiet, told, sent, received, n_further_bytes = run_in_virtual_time(main)
        assert quiet[0] == told[0] == 0
        assert quiet[1] == pytest.approx(told[1], rel=0.1)
        print(f"{n_instances} instances: {sent} bytes sent, {received} received")
        assert 0 < sent <= MAX_REPORT_BYTES
        assert received <= 2 * MAX_REPORT_BYTES * n_instances
        assert n_further_bytes == 0

    async def bytes_of_a_second(self, linked):
        before = linked.n_sent_bytes, linked.n_received_bytes
        await anyio.sleep(1.0)
        return (
            linked.n_sent_bytes - before[0],
            linked.n_received_bytes - before[1],
        )

    # Guards against an instance that forgets in a restart which targets leave.
    def test_instance_that_starts_later_is_told(self, monkeypatch):
        async def main():
            async with self.linked(5, monkeypatch).connected() as linked:
                await self.learn(linked)
                await anyio.sleep(60.0)
                late = linked.add_role("entry-late", "fd2")
                await anyio.sleep(1.0)
                return is_out(late)

        assert run_in_virtual_time(main)

    # Guards against a report that is believed for another incarnation.
    def test_next_incarnation_is_used_at_all_instances(self, monkeypatch):
        async def main():
            async with self.linked(5, monkeypatch).connected() as linked:
                await self.learn(linked)
                await anyio.sleep(1.0)
                assert all(map(is_out, linked.roles))
                for role in linked.roles:
                    targets = role._relay_context.targets
                    assert targets.merge(make_announcement("i-1", born_ms=2000))
                assert all(map(is_out, linked.roles))
                await anyio.sleep(1.1)
                return any(map(is_out, linked.roles))

        assert not run_in_virtual_time(main)

    def test_instances_that_hear_it_at_once_agree(self, monkeypatch):
        async def main():
            random.seed(1)
            async with self.linked(28, monkeypatch).connected() as linked:
                for role in linked.roles:
                    eject(role, "i-2")
                async with anyio.create_task_group() as group:
                    for role in linked.roles:
                        group.start_soon(relay, role)
                return await told_ms(linked, is_out), linked

        took_ms, linked = run_in_virtual_time(main)
        assert took_ms <= TOLD_MS
        assert linked.n_sent_bytes <= 28 * MAX_REPORT_BYTES
