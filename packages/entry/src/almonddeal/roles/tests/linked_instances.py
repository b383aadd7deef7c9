"""Entry instances that follow control instances in virtual time, without a network.

The roles, followers and feeds are the real ones. Each message is encoded, and decoded
after the time that it takes between two failure domains.
"""

from collections import Counter
from contextlib import asynccontextmanager

import anyio

from almonddeal.announced.registry import TargetRegistry
from almonddeal.publication import follower as follower_module
from almonddeal.publication.feed import Feed
from almonddeal.publication.state import Publication
from almonddeal.publication.tests.linked_members import Freshness, Group
from almonddeal.publication.tests.test_follower import make_hello, make_settings
from almonddeal.relay.context import TargetClient
from almonddeal.relay.tests.announcements import make_announcement
from almonddeal.relay.tests.fakes import FakeFleet, NoMetrics
from almonddeal.roles import entry
from almonddeal_common.address import Address
from almonddeal_common.clock import boot_ms
from almonddeal_common.wire.codec import decode, encode
from almonddeal_common.wire.gen.ttypes import FollowUpdate, ShareRuns

DELAY_S = 0.02  # of a message
DOMAINS = ("fd1", "fd2", "fd3")
ADDRESS_BY_NAME = {f"c{n}": f"127.77.0.{n}:7311" for n in (1, 2, 3)}
SUBSCRIBE_S = 1.0  # by then all instances have subscribed


class _NoMetrics(NoMetrics):
    def set_n_quarantined(self, n_quarantined):
        return None


class _Wire:
    """One direction of a link: messages arrive in order, after a delay."""

    def __init__(self, type_, handle, group):
        self._type = type_
        self._handle = handle
        self._send, self._receive = anyio.create_memory_object_stream(float("inf"))
        self.n_bytes = 0
        group.start_soon(self._deliver)

    def send(self, message):
        data = encode(message)
        self.n_bytes += len(data)
        self._send.send_nowait((anyio.current_time() + DELAY_S, data))

    async def _deliver(self):
        async for due_s, data in self._receive:
            await anyio.sleep(due_s - anyio.current_time())
            await self._handle(decode(self._type, data))


class _FakePeer:
    """Link of a control instance to another one."""

    is_up = True

    def __init__(self, name, feed, group):
        self.name = name
        self._wire = _Wire(
            ShareRuns, lambda m: feed.handle_share_runs(None, m, None), group
        )

    def require_link(self):
        return self

    def notify(self, message):
        self._wire.send(message)


class _FakeLink:
    """Link of an entry instance to a control instance."""

    def __init__(self, name, domain, feed, group):
        self.peer = make_hello(name, domain)
        self.ready = anyio.Event()
        self.ready.set()
        self._feed = feed
        self._group = group
        self.down = None
        self.up = _Wire(
            ShareRuns, lambda m: feed.handle_share_runs(self, m, None), group
        )

    @property
    def last_received_boot_ms(self):
        return boot_ms()

    async def run(self):
        await anyio.sleep(3600)

    def notify(self, message):
        self.up.send(message)

    @asynccontextmanager
    async def open_stream(self, request):
        send, receive = anyio.create_memory_object_stream(float("inf"))
        self.down = _Wire(FollowUpdate, send.send, self._group)
        self._group.start_soon(self._feed.handle_follow, self, request, self.down.send)
        yield receive


class LinkedInstances:
    """Entry instances with the same targets, which follow three control instances.

    Attributes
    ----------
    roles : list of EntryRole
    fleet : FakeFleet
        The targets, and what they were sent.
    n_attempts_by_instance : Counter
        Of pairs of an instance and a target.
    """

    def __init__(self, n_instances, behaviour_by_target, monkeypatch):
        monkeypatch.setattr(entry, "RelayMetrics", _NoMetrics)
        monkeypatch.setattr(follower_module, "dial", self._dial)
        self._n_instances = n_instances
        self._group = None
        self._feed_by_name = {}
        self._links = []
        self.fleet = FakeFleet(behaviour_by_target)
        self.roles = []
        self.n_attempts_by_instance = Counter()

    @asynccontextmanager
    async def connected(self):
        """Run the instances while the context is open, all subscribed."""
        async with anyio.create_task_group() as group:
            self._group = group
            self._add_feeds()
            for number in range(self._n_instances):
                self.add_role(f"entry-{number}", DOMAINS[number % 3])
            await anyio.sleep(SUBSCRIBE_S)
            assert all(r._follower.follows_fresh_instance for r in self.roles)
            yield self
            group.cancel_scope.cancel()

    def _add_feeds(self):
        peers_by_name = {name: {} for name in ADDRESS_BY_NAME}
        for name in ADDRESS_BY_NAME:
            self._feed_by_name[name] = Feed(
                name,
                Publication(),
                TargetRegistry(),
                Freshness(),
                Group(ADDRESS_BY_NAME),
                peers_by_name[name],
            )
        for name, peers in peers_by_name.items():
            self._group.start_soon(self._feed_by_name[name].monitor_periodically)
            for other, feed in self._feed_by_name.items():
                if other != name:
                    peers[other] = _FakePeer(other, feed, self._group)

    def add_role(self, name, domain):
        """Start and return one more entry instance, which knows the targets."""
        settings = make_settings(list(ADDRESS_BY_NAME.values()))
        settings.instance, settings.failure_domain = name, domain
        settings.callers = Address("127.0.0.1", 0)
        fleet = self.fleet

        def open_attempt(attempt):
            self.n_attempts_by_instance[name, attempt.target.target] += 1
            return fleet.open_attempt(attempt)

        client = TargetClient(
            open_attempt,
            fleet.is_alive,
            fleet.is_reachable,
            fleet.send_kv_copy,
            fleet.free_kv_copy,
            fleet.list_cached_prefixes,
            fleet.read_start_ms,
        )
        role = entry.EntryRole(settings, None, client, lambda: settings)
        for target in fleet.behaviour_by_target:
            role._relay_context.targets.merge(make_announcement(target))
        self.roles.append(role)
        self._group.start_soon(role._follower.run)
        self._group.start_soon(role._maintain_periodically)
        return role

    async def _dial(self, address, hello, handlers, timeout_s):
        name = next(n for n, a in ADDRESS_BY_NAME.items() if a == str(address))
        domain = DOMAINS[list(ADDRESS_BY_NAME).index(name)]
        link = _FakeLink(name, domain, self._feed_by_name[name], self._group)
        self._links.append(link)
        return link

    @property
    def n_sent_bytes(self):
        """Bytes that entry instances sent to control instances."""
        return sum(link.up.n_bytes for link in self._links)

    @property
    def n_received_bytes(self):
        """Bytes that control instances sent to entry instances."""
        return sum(link.down.n_bytes for link in self._links if link.down is not None)
