"""In-process network of answer holders, with partitions and restarts."""

import anyio

from almonddeal.answers.ownership import Ownership
from almonddeal.answers.replicate import Replicator
from almonddeal_common.codes import LINK_LOST, NOT_REACHED, AlmonddealError
from almonddeal_common.replicas.store import AnswerStore
from almonddeal_common.wire.gen.ttypes import AnswerSpec, AppendBatch, AppendBatchReply


class FakeNet:
    """Holders by name; any pair can be partitioned, any holder restarted."""

    def __init__(self, names):
        self.store_by_name = {name: AnswerStore() for name in names}
        self.partitioned_pairs = set()

    def is_reachable(self, source, target):
        return (source, target) not in self.partitioned_pairs

    def partition(self, source, target):
        self.partitioned_pairs |= {(source, target), (target, source)}

    def heal(self):
        self.partitioned_pairs.clear()

    def restart(self, name):
        """Replace a holder's store by an empty one, as a restart does."""
        self.store_by_name[name] = AnswerStore()


class FakeLink:
    """A link from one instance to another."""

    def __init__(self, net, source, target):
        self._net = net
        self._source = source
        self._target = target

    async def call(self, message, timeout_ms=None):
        store = self._net.store_by_name[self._target]
        await self._deliver()
        if isinstance(message, AppendBatch):
            reply = AppendBatchReply([store.append(a) for a in message.appends])
        else:
            reply = store.fence(message)
        await self._deliver()
        if store is not self._net.store_by_name[self._target]:
            raise AlmonddealError(LINK_LOST, "restarted")
        return reply

    async def _deliver(self):
        await anyio.sleep(0)
        if not self._net.is_reachable(self._source, self._target):
            raise AlmonddealError(LINK_LOST, "cut")


class FakeView:
    """The `FleetView` of one instance."""

    def __init__(self, net, name):
        self._net = net
        self._name = name
        self._names = sorted(net.store_by_name)

    def number_of(self, name):
        return self._names.index(name) + 1

    def all_entries(self):
        return [n for n in self._names if n.startswith("entry")]

    def live_entries(self):
        return [
            n
            for n in self.all_entries()
            if n == self._name or self._net.is_reachable(self._name, n)
        ]

    def candidate_agents(self):
        return [n for n in self._names if n.startswith("agent")]

    def domain_by_name(self):
        return {name: f"fd{int(name[-1]) % 3}" for name in self._names}

    def link_to(self, name):
        if not self._net.is_reachable(self._name, name):
            raise AlmonddealError(NOT_REACHED, name)
        return FakeLink(self._net, self._name, name)

    async def open_link(self, name):
        return self.link_to(name)


class FakeEntry:
    """The replicator and the ownership of one entry instance."""

    def __init__(self, net, name, group):
        view = FakeView(net, name)
        store = net.store_by_name[name]
        self.replicator = Replicator(name, store, view.link_to, group)
        self.ownership = Ownership(name, store, view, self.replicator)


def make_spec(request="kite:r1"):
    """Return an `AnswerSpec`; the request key starts with the customer's name."""
    return AnswerSpec(
        request=request,
        customer=request.partition(":")[0],
        model="draft",
        version="v1",
        adapter="",
        prompt="hello",
        settings_json="{}",
        max_tokens=100,
        created_ms=1,
    )
