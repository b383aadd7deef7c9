"""A small network of answer holders in one process, with cuts and restarts."""

import anyio

from almonddeal.answers.ownership import Ownership
from almonddeal.answers.replicate import Replicator
from almonddeal_common.codes import LINK_LOST, NOT_REACHED, AlmonddealError
from almonddeal_common.replicas.store import AnswerStore
from almonddeal_common.wire.gen.ttypes import AnswerSpec, AppendBatch, AppendBatchReply


class FakeNet:
    """Holders by name; any pair can be cut, any holder can lose its memory."""

    def __init__(self, names):
        self.store_by_name = {name: AnswerStore() for name in names}
        self.cut_pairs = set()

    def is_reachable(self, source, target):
        return (source, target) not in self.cut_pairs

    def cut(self, source, target):
        self.cut_pairs |= {(source, target), (target, source)}

    def heal(self):
        self.cut_pairs.clear()

    def restart(self, name):
        """Empty a holder's memory, as a restart does."""
        self.store_by_name[name] = AnswerStore()


class FakeLink:
    """The way from one instance to another."""

    def __init__(self, net, source, target):
        self._net = net
        self._source = source
        self._target = target

    async def call(self, message, timeout_ms=None):
        store = self._net.store_by_name[self._target]
        await self._pass()
        if isinstance(message, AppendBatch):
            reply = AppendBatchReply([store.append(a) for a in message.appends])
        else:
            reply = store.fence(message)
        await self._pass()
        if store is not self._net.store_by_name[self._target]:
            raise AlmonddealError(LINK_LOST, "restarted")
        return reply

    async def _pass(self):
        await anyio.sleep(0)
        if not self._net.is_reachable(self._source, self._target):
            raise AlmonddealError(LINK_LOST, "cut")


class FakeView:
    """What one instance sees of the network."""

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

    def live_agents(self):
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
    """The answer parts of one entry instance."""

    def __init__(self, net, name, group):
        view = FakeView(net, name)
        store = net.store_by_name[name]
        self.replicator = Replicator(name, store, view.link_to, group)
        self.ownership = Ownership(name, store, view, self.replicator)


def make_spec(request="kite:r1"):
    """Return a spec for tests."""
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
