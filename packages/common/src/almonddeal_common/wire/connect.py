"""Opening links: a listener for incoming ones, and one task a peer that dials."""

import random

import anyio
from anyio import connect_tcp, create_tcp_listener

from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import ADDRESS_IN_USE, NOT_REACHED, AlmonddealError
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.link import Link

CONNECT_TIMEOUT_S = 1.0
RETRY_MIN_S = 0.05
RETRY_MAX_S = 1.0

log = get_logger("wire")


async def listen(address):
    """Return a TCP listener on an address of the settings."""
    try:
        return await create_tcp_listener(
            local_host=address.host, local_port=address.port, backlog=1024
        )
    except OSError as error:
        raise AlmonddealError(ADDRESS_IN_USE, f"{address}: {error}") from None


async def serve_links(listener, hello, handler_by_type, on_link=None):
    """Accept links until cancelled; `on_link(link)` sees each one."""

    async def serve(stream):
        link = Link(stream, hello, handler_by_type)
        if on_link is not None:
            on_link(link)
        await _run_logged(link, "accepted")

    async with listener:
        await listener.serve(serve)


async def _run_logged(link, how):
    reason = await link.run()
    if link.peer is not None:
        log.info("%s link with %s ended, %s", how, link.peer.instance, reason)


class Peer:
    """A process that this one keeps a link to; `run` dials again for ever.

    Parameters
    ----------
    name : str
        Instance of the other process.
    address : Address
        Where it listens.
    hello : Hello
        What this process says of itself.
    handler_by_type : dict
        Handlers for what the other side calls.
    on_ready : callable, optional
        Called with each new link once it is ready.

    Attributes
    ----------
    incarnation_since_ms : float
        When the process that answers there now was first seen.
    down_since_ms : float
        When the link was lost last.
    """

    def __init__(self, name, address, hello, handler_by_type, on_ready=None):
        self._on_ready = on_ready
        self.name = name
        self.address = address
        self.link = None
        self.up = anyio.Event()
        self.incarnation = None
        self.incarnation_since_ms = 0.0
        self.down_since_ms = monotonic_ms()
        self._hello = hello
        self._handler_by_type = handler_by_type

    def __repr__(self):
        return f"Peer({self.name!r}, {self.address!r})"

    @property
    def is_up(self):
        """Whether the link is open now."""
        return self.link is not None and self.link.is_open

    async def run(self):
        """Dial, serve the link, and dial again after it closes."""
        retry_s = RETRY_MIN_S
        while True:
            try:
                link = await dial(self.address, self._hello, self._handler_by_type)
                retry_s = RETRY_MIN_S
                await self._serve(link)
            except AlmonddealError:
                retry_s = min(RETRY_MAX_S, retry_s * 2)
            await anyio.sleep(retry_s * random.uniform(0.5, 1.0))

    async def _serve(self, link):
        async def announce_ready():
            await link.ready.wait()
            if link.peer.incarnation != self.incarnation:
                self.incarnation = link.peer.incarnation
                self.incarnation_since_ms = monotonic_ms()
            self.up.set()
            if self._on_ready is not None:
                self._on_ready(link)

        self.link = link
        async with anyio.create_task_group() as group:
            group.start_soon(announce_ready)
            await _run_logged(link, "dialled")
            group.cancel_scope.cancel()
        self.link = None
        self.down_since_ms = monotonic_ms()
        # Those who wait for the first link wait on the event that is not set yet.
        if self.up.is_set():
            self.up = anyio.Event()

    async def call(self, message, timeout_ms):
        """Call over the link that is open now; `LINK_LOST` without one."""
        return await self.require_link().call(message, timeout_ms)

    def require_link(self):
        """Return the open link, or raise `NOT_REACHED`."""
        link = self.link
        if link is None or not link.is_open:
            raise AlmonddealError(NOT_REACHED, f"no link to {self.name}")
        return link


async def dial(address, hello, handler_by_type, timeout_s=CONNECT_TIMEOUT_S):
    """Return a new `Link` to an address; the caller runs it.

    Parameters
    ----------
    address : Address
    hello : Hello
        What this process says of itself.
    handler_by_type : dict
        Handlers for what the other side calls.
    timeout_s : float

    Raises
    ------
    AlmonddealError
        `NOT_REACHED` if no connection can be made.
    """
    try:
        with anyio.fail_after(timeout_s):
            stream = await connect_tcp(address.host, address.port)
    except (OSError, TimeoutError) as error:
        raise AlmonddealError(NOT_REACHED, f"{address}: {error}") from None
    return Link(stream, hello, handler_by_type)
