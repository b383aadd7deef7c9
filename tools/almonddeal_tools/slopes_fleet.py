"""Measurements that need real processes: agents at an entry instance, idle costs."""

import json
import time

import anyio
import click

from almonddeal_common.address import Address
from almonddeal_common.wire.connect import dial
from almonddeal_common.wire.gen.constants import PROTOCOL_VERSION
from almonddeal_common.wire.gen.ttypes import Announce, Hello
from almonddeal_tools.bench.path import cpu_s, rss_mb
from almonddeal_tools.fleet import Fleet
from almonddeal_tools.slope_points import make_target_state, print_series


class SimulatedAgents:
    """Links that announce a target to an entry instance as agents do.

    Parameters
    ----------
    address : Address
        Address of the entry instance.
    n_agents : int
        Number of links, one for each simulated agent.
    """

    ANNOUNCE_INTERVAL_S = 0.4

    def __init__(self, address, n_agents):
        self._address = address
        self._n_agents = n_agents
        self.n_replies = 0

    async def run(self, seconds):
        """Announce periodically for a number of seconds."""
        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as group:
                for number in range(self._n_agents):
                    group.start_soon(self._announce, group, number)
                    await anyio.sleep(0.002)

    async def _announce(self, group, number):
        hello = Hello(PROTOCOL_VERSION, 1, "agent", f"light{number}", 1, "fd1")
        link = await dial(self._address, hello, {})
        group.start_soon(link.run)
        await link.ready.wait()
        state = make_target_state(1000 + number)
        state.sequence = 0
        while True:
            state.sequence += 1
            reply = await link.call(Announce(state, 1), 5000)
            self.n_replies += 1
            state.document_version = reply.document_version
            await anyio.sleep(self.ANNOUNCE_INTERVAL_S)


def measure_followers():
    """Measure an entry instance by the number of agents that announce to it."""
    points_cpu, points_memory, points_in_force = [], [], []
    for n_agents in (0, 100, 300):
        with Fleet(n_engines=1, n_services=0) as fleet:
            entry = fleet.process_by_name["entry1"]
            agents = SimulatedAgents(Address.parse(fleet.entry_addresses[1]), n_agents)
            anyio.run(_measure_entry, fleet, entry, agents, points_cpu, points_in_force)
            points_memory.append((n_agents, rss_mb(entry)))
    print_series("entry instance, processor, over agents", "% of a core", points_cpu)
    print_series("entry instance, memory, over agents", "MB", points_memory)
    print_series("accepted to in force everywhere, over agents", "ms", points_in_force)


async def _measure_entry(fleet, entry, agents, points_cpu, points_in_force):
    seconds = 14.0
    async with anyio.create_task_group() as group:
        group.start_soon(agents.run, seconds)
        await anyio.sleep(5.0)
        cpu_before_s, started = cpu_s(entry), time.monotonic()
        await anyio.sleep(4.0)
        share = (cpu_s(entry) - cpu_before_s) / (time.monotonic() - started)
        points_cpu.append((agents._n_agents, share * 100))
        times_ms = []
        for number in range(5):
            times_ms.append(
                await anyio.to_thread.run_sync(_measure_change_ms, fleet, number)
            )
        points_in_force.append((agents._n_agents, sorted(times_ms)[len(times_ms) // 2]))
        group.cancel_scope.cancel()


def _measure_change_ms(fleet, number):
    document = json.loads(json.dumps(fleet.document))
    document["leaving"] = [f"none{number}"]
    started = time.monotonic()
    fleet.apply(document, entry=1)
    return (time.monotonic() - started) * 1000


def measure_agent():
    """Measure CPU time and memory of an idle agent and of idle entry instances."""
    with Fleet(n_engines=1, n_services=0) as fleet:
        names = ("agent0", "entry0", "entry1", "entry2")
        cpu_before_s = {name: cpu_s(fleet.process_by_name[name]) for name in names}
        time.sleep(10)
        for name in names:
            process = fleet.process_by_name[name]
            line = {
                "name": f"idle {name}",
                "processor_percent": round(
                    (cpu_s(process) - cpu_before_s[name]) * 10, 2
                ),
                "memory_mb": round(rss_mb(process), 1),
            }
            click.echo(json.dumps(line))
