"""TCP proxies between processes, which close connections and withhold data."""

import anyio
from anyio import connect_tcp, create_tcp_listener
from anyio.from_thread import start_blocking_portal

BOTH_DIRECTIONS = ("out", "back")
RECEIVE_BYTES = 65536


class ProxyRoute:
    """Proxied connections from one process to an address of another.

    Attributes
    ----------
    blocked_directions : set of str
        ``"out"`` (to the address) and ``"back"``; data is withheld, not dropped.
    open_streams : set
        Both streams of every open connection.
    """

    def __init__(self, source, host, port):
        self.source = source
        self.host = host
        self.port = port
        self.blocked_directions = set()
        self.open_streams = set()

    def __repr__(self):
        return f"<ProxyRoute from {self.source} to {self.port}>"

    async def forward(self, downstream):
        """Forward one connection until either side closes it."""
        try:
            upstream = await connect_tcp(self.host, self.port)
        except OSError:
            await anyio.aclose_forcefully(downstream)
            return
        self.open_streams |= {downstream, upstream}
        try:
            async with anyio.create_task_group() as group:
                scope = group.cancel_scope
                group.start_soon(self._pump, downstream, upstream, "out", scope)
                group.start_soon(self._pump, upstream, downstream, "back", scope)
        finally:
            self.open_streams -= {downstream, upstream}
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(downstream)
                await anyio.aclose_forcefully(upstream)

    async def _pump(self, source, sink, direction, scope):
        try:
            while True:
                data = await source.receive(RECEIVE_BYTES)
                while direction in self.blocked_directions:
                    await anyio.sleep(0.01)
                await sink.send(data)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            OSError,
        ):
            scope.cancel()

    async def close_connections(self):
        """Close all connections of the route."""
        for stream in list(self.open_streams):
            await anyio.aclose_forcefully(stream)


class TcpProxies:
    """Proxy routes, served by an event loop on a separate thread.

    A context manager; `add_route` may be called while it is entered.
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

    def add_route(self, source, address):
        """Open a listener that forwards to `address`; returns its address.

        Parameters
        ----------
        source : str
            Name of the process that dials, or of a group of processes.
        address : str
            ``host:port`` of the destination.
        """
        host, _, port = address.rpartition(":")
        route = ProxyRoute(source, host, int(port))
        listener, listen_port = self._portal.call(self._open_listener)
        self._portal.start_task_soon(self._serve_route, listener, route)
        self.routes.append(route)
        return f"127.0.0.1:{listen_port}"

    async def _open_listener(self):
        listener = await create_tcp_listener(local_host="127.0.0.1", local_port=0)
        port = listener.listeners[0].extra(anyio.abc.SocketAttribute.local_port)
        return listener, port

    async def _serve_route(self, listener, route):
        with anyio.CancelScope() as scope:
            self._scopes.append(scope)
            async with listener:
                await listener.serve(route.forward)

    def close_random_route(self, random):
        """Close all connections of a random route; return whether there were any."""
        route = random.choice(self.routes)
        has_connections = bool(route.open_streams)
        self._portal.call(route.close_connections)
        return has_connections

    async def black_hole(self, random, duration_s):
        """Withhold all data on random routes for a time, in one direction or both.

        Returns
        -------
        has_connections : bool
            Whether any of the routes had a connection at the start.
        """
        routes = self._pick_routes(random)
        directions = random.choice((BOTH_DIRECTIONS, ("out",), ("back",)))
        has_connections = any(route.open_streams for route in routes)
        for route in routes:
            route.blocked_directions |= set(directions)
        await anyio.sleep(duration_s)
        for route in routes:
            route.blocked_directions -= set(directions)
        return has_connections

    def _pick_routes(self, random):
        """Return a random route or, to isolate its source, all routes of the source."""
        route = random.choice(self.routes)
        if random.random() < 0.5:
            return [route]
        return [r for r in self.routes if r.source == route.source]
