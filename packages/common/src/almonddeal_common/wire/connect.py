"""Link set-up: accepting incoming links and keeping a link to each peer."""

import random

import anyio
from anyio import connect_tcp, create_task_group, create_tcp_listener

from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import ADDRESS_IN_USE, NOT_REACHED, AlmonddealError
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.link import Link

CONNECT_TIMEOUT_S = 1.0
# A lost opening packet is sent again by the system after a second only.
CONNECT_ATTEMPT_INTERVAL_S = 0.2
RECONNECT_MIN_S = 0.05
RECONNECT_MAX_S = 1.0

log = get_logger("wire")


async def listen(address):
    """Return a TCP listener; raises `ADDRESS_IN_USE` if the address cannot be bound."""
    try:
        return await create_tcp_listener(
            local_host=address.host, local_port=address.port, backlog=1024
        )
    except OSError as error:
        raise AlmonddealError(ADDRESS_IN_USE, f"{address}: {error}") from None


async def serve_links(listener, hello, handler_by_type, on_link=None):
    """Accept links until cancelled; calls `on_link(link)` for each before it runs."""

    async def serve(stream):
        link = Link(stream, hello, handler_by_type)
        if on_link is not None:
            on_link(link)
        await _run_and_log(link, "accepted")

    async with listener:
        await listener.serve(serve)


async def _run_and_log(link, direction):
    reason = await link.run()
    if link.peer is not None:
        log.info("%s link with %s closed: %s", direction, link.peer.instance, reason)


class Peer:
    """A process to which this one keeps a link; `run` reconnects until cancelled.

    Parameters
    ----------
    name : str
        Name of the peer in errors: its instance or its address.
    address : Address
        Listening address of the peer.
    hello : Hello
        Handshake message of this process.
    handler_by_type : dict
        Handlers for calls from the peer, see `Link`.
    on_ready : callable, optional
        Called with each new link after its handshake.

    Attributes
    ----------
    link : Link or None
        The present link, also before its handshake; None without one.
    connected : anyio.Event
        Set while a link is open; replaced by a new event when the link closes.
    incarnation : int or None
        Incarnation of the peer process, which changes when it restarts.
    incarnation_since_ms : float
        Time at which the present incarnation was first seen.
    down_since_ms : float
        Time at which the last link closed; that of construction before the first.
    """

    def __init__(self, name, address, hello, handler_by_type, on_ready=None):
        self._on_ready = on_ready
        self.name = name
        self.address = address
        self.link = None
        self.connected = anyio.Event()
        self.incarnation = None
        self.incarnation_since_ms = 0.0
        self.down_since_ms = monotonic_ms()
        self._hello = hello
        self._handler_by_type = handler_by_type

    def __repr__(self):
        return f"Peer({self.name!r}, {self.address!r})"

    @property
    def is_up(self):
        """Whether the link is open."""
        return self.link is not None and self.link.is_open

    async def run(self):
        """Keep a link to the peer until cancelled; delays between tries grow."""
        delay_s = RECONNECT_MIN_S
        while True:
            try:
                link = await dial(self.address, self._hello, self._handler_by_type)
                delay_s = RECONNECT_MIN_S
                await self._serve(link)
            except AlmonddealError:
                delay_s = min(RECONNECT_MAX_S, delay_s * 2)
            await anyio.sleep(delay_s * random.uniform(0.5, 1.0))

    async def _serve(self, link):
        async def handle_ready():
            await link.ready.wait()
            if link.peer.incarnation != self.incarnation:
                self.incarnation = link.peer.incarnation
                self.incarnation_since_ms = monotonic_ms()
            self.connected.set()
            if self._on_ready is not None:
                self._on_ready(link)

        self.link = link
        async with anyio.create_task_group() as group:
            group.start_soon(handle_ready)
            await _run_and_log(link, "dialled")
            group.cancel_scope.cancel()
        self.link = None
        self.down_since_ms = monotonic_ms()
        # An event that was never set is kept, as tasks may wait on it for a first link.
        if self.connected.is_set():
            self.connected = anyio.Event()

    async def call(self, message, timeout_ms, is_cancellable=True):
        """Call the peer over the open link; raises `NOT_REACHED` without one."""
        return await self.require_link().call(message, timeout_ms, is_cancellable)

    def require_link(self):
        """Return the open link; raises `NOT_REACHED` without one."""
        link = self.link
        if link is None or not link.is_open:
            raise AlmonddealError(NOT_REACHED, f"no link to {self.name}")
        return link


async def _connect(address):
    """Return the TCP connection of the first attempt that succeeds.

    Attempts start one after another; the first one that fails ends all.
    """
    streams = []
    errors = []

    async def attempt():
        try:
            streams.append(await connect_tcp(address.host, address.port))
        except OSError as error:
            errors.append(error)
        attempts.cancel_scope.cancel()

    try:
        async with create_task_group() as attempts:
            while True:
                attempts.start_soon(attempt)
                await anyio.sleep(CONNECT_ATTEMPT_INTERVAL_S)
        if not streams:
            raise errors[0]
        return streams.pop(0)
    finally:
        for stream in streams:
            await anyio.aclose_forcefully(stream)


async def dial(address, hello, handler_by_type, timeout_s=CONNECT_TIMEOUT_S):
    """Connect to an address; returns a `Link` that the caller must run.

    Parameters
    ----------
    address : Address
    hello : Hello
        Handshake message of this process.
    handler_by_type : dict
        Handlers for calls from the peer, see `Link`.
    timeout_s : float
        Time limit for the TCP connection, in seconds.

    Raises
    ------
    AlmonddealError
        `NOT_REACHED` if the connection fails.
    """
    try:
        with anyio.fail_after(timeout_s):
            stream = await _connect(address)
    except (OSError, TimeoutError) as error:
        raise AlmonddealError(NOT_REACHED, f"{address}: {error}") from None
    return Link(stream, hello, handler_by_type)
