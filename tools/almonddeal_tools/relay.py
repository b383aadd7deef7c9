"""Relays between processes, which cut, stop and resume what passes through them."""

import anyio
from anyio import connect_tcp, create_tcp_listener
from anyio.from_thread import start_blocking_portal

BOTH = ("out", "back")
RECEIVE_BYTES = 65536


class Route:
    """The way from one process to an address of another."""

    def __init__(self, source, host, port):
        self.source = source
        self.host = host
        self.port = port
        self.blocked = set()
        self.streams = set()

    def __repr__(self):
        return f"<Route from {self.source} to {self.port}>"

    async def serve(self, stream):
        """Relay one connection until either side closes it."""
        try:
            other = await connect_tcp(self.host, self.port)
        except OSError:
            await anyio.aclose_forcefully(stream)
            return
        self.streams |= {stream, other}
        try:
            async with anyio.create_task_group() as group:
                scope = group.cancel_scope
                group.start_soon(self._pump, stream, other, "out", scope)
                group.start_soon(self._pump, other, stream, "back", scope)
        finally:
            self.streams -= {stream, other}
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
                await anyio.aclose_forcefully(other)

    async def _pump(self, source, sink, direction, scope):
        try:
            while True:
                data = await source.receive(RECEIVE_BYTES)
                while direction in self.blocked:
                    await anyio.sleep(0.01)
                await sink.send(data)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            OSError,
        ):
            scope.cancel()

    async def close_all(self):
        """Cut all connections of the route."""
        for stream in list(self.streams):
            await anyio.aclose_forcefully(stream)


class Relays:
    """All routes, run on a thread of their own.

    Use as a context; `route` may be called while it is open.
    """

    def __init__(self):
        self.routes = []
        self._portal_context = start_blocking_portal()
        self._portal = None
        self._scopes = []

    def __enter__(self):
        self._portal = self._portal_context.__enter__()
        return self

    def __exit__(self, *exc_info):
        self._portal.call(self._stop)
        self._portal_context.__exit__(*exc_info)

    async def _stop(self):
        for scope in self._scopes:
            scope.cancel()

    def route(self, source, address):
        """Return an address that relays to `address` for one source."""
        host, _, port = address.rpartition(":")
        route = Route(source, host, int(port))
        listener, own_port = self._portal.call(self._open)
        self._portal.start_task_soon(self._serve, listener, route)
        self.routes.append(route)
        return f"127.0.0.1:{own_port}"

    async def _open(self):
        listener = await create_tcp_listener(local_host="127.0.0.1", local_port=0)
        port = listener.listeners[0].extra(anyio.abc.SocketAttribute.local_port)
        return listener, port

    async def _serve(self, listener, route):
        with anyio.CancelScope() as scope:
            self._scopes.append(scope)
            async with listener:
                await listener.serve(route.serve)

    def cut(self, random):
        """Cut the connections of a random route."""
        route = random.choice(self.routes)
        self._portal.call(route.close_all)

    async def black_hole(self, random, seconds):
        """Let nothing pass on some routes for a time, in one direction or both."""
        routes = self._pick(random)
        directions = random.choice((BOTH, ("out",), ("back",)))
        for route in routes:
            route.blocked |= set(directions)
        await anyio.sleep(seconds)
        for route in routes:
            route.blocked -= set(directions)

    def _pick(self, random):
        """Return one route, or all routes of one source, which is then cut off."""
        route = random.choice(self.routes)
        if random.random() < 0.5:
            return [route]
        return [r for r in self.routes if r.source == route.source]
