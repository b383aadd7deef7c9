"""Links to agents, opened on demand and reused while they stay open."""

import anyio

from almonddeal_common.address import Address
from almonddeal_common.codes import NOT_REACHED, AlmonddealError
from almonddeal_common.wire.connect import dial

READY_TIMEOUT_S = 1.0


class AgentLinks:
    """Cache of links, one to each agent.

    Parameters
    ----------
    hello : Hello
        Handshake of this instance.
    group : anyio.abc.TaskGroup
        Runs the links.
    """

    def __init__(self, hello, group):
        self._hello = hello
        self._group = group
        self._link_by_process = {}
        self._lock_by_process = {}

    async def open(self, state):
        """Return the link to the agent of a `TargetState`, connecting if needed.

        Raises
        ------
        AlmonddealError
            `NOT_REACHED` if no connection can be made, or the agent has restarted.
        """
        key = (state.host, state.port, state.incarnation)
        link = self._link_by_process.get(key)
        if link is not None and link.is_open:
            return link
        lock = self._lock_by_process.setdefault(key, anyio.Lock())
        async with lock:
            link = self._link_by_process.get(key)
            if link is None or not link.is_open:
                link = await self._dial(key)
        return link

    async def _dial(self, key):
        host, port, incarnation = key
        link = await dial(Address(host, port), self._hello, {})
        self._group.start_soon(self._serve, key, link)
        with anyio.move_on_after(READY_TIMEOUT_S):
            await link.ready.wait()
        if not link.is_open:
            raise AlmonddealError(NOT_REACHED, f"agent at {host}:{port}")
        if link.peer.incarnation != incarnation:
            link.close()
            raise AlmonddealError(NOT_REACHED, f"agent at {host}:{port} restarted")
        self._link_by_process[key] = link
        return link

    async def _serve(self, key, link):
        await link.run()
        if self._link_by_process.get(key) is link:
            del self._link_by_process[key]
            self._lock_by_process.pop(key, None)

    def find(self, state):
        """Return the link to the agent of a `TargetState` if one is open, else None."""
        link = self._link_by_process.get((state.host, state.port, state.incarnation))
        return link if link is not None and link.is_open else None
