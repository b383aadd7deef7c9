"""HTTP connections that are closed after the requests they have received.

Hypercorn closes a connection, when it is idle or the server stops, without regard to
what it has received. It also closes one at once after a response that comes before the
end of its request, so that the client may lose the response. Here the rest of such a
request is read for a time and discarded.

A connection also ends after a response that says so, in HTTP/1 by "Connection: close".
Hypercorn takes bytes that a client sends behind the last request for an error, and
breaks off the response to it. Here they are discarded.

The scope that hypercorn makes of a request does not show whether its path ends in "?".
The target of the request line is therefore passed on beside it.
"""

import asyncio
from contextlib import suppress

import anyio
from hypercorn.asyncio.tcp_server import MAX_RECV, TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.events import Closed, Updated
from hypercorn.protocol.h2 import H2Protocol
from hypercorn.protocol.h11 import H11Protocol, h11
from hypercorn.utils import wrap_app

from almonddeal_common.closes import (
    CLOSED_BY_CLIENT,
    CUT,
    FAULT,
    HEAD_TIMEOUT,
    IDLE_TIMEOUT,
    NO_REQUEST,
    REQUEST_NOT_READ,
    RESPONSE,
    STOP,
    record_close,
    record_malformed,
    request_progress,
)
from almonddeal_common.connection_tasks import ConnectionTasks
from almonddeal_common.h2_connections import tolerate_ended_streams
from almonddeal_common.h11_connections import (
    announce_early_closes,
    raise_head_limit,
    skip_empty_lines,
    without_upgrade,
)
from almonddeal_common.head_limits import HeadLimitedReader
from almonddeal_common.logs import get_logger

# In the state of an ASGI scope: tells whether the client has sent a further request.
HAS_FURTHER_REQUEST = "has_further_request"
# In the same state: the target of an HTTP/1 request line, as it was received.
REQUEST_TARGET = "request_target"
CANCEL_TIMEOUT_S = 0.5  # for cancelled connections to close
DISCARD_TIMEOUT_S = 1.0  # for clients to read a response before the connection closes
FIRST_REQUEST_TIMEOUT_S = 0.3  # after a stop, for connections that were just accepted
READ_POLL_INTERVAL_S = 0.01
MAX_READ_POLLS = 100  # for a request to be read of which bytes were received

log = get_logger("http")


class _ConnectionStop:
    """The stop of the server for one connection: after the requests it has received."""

    __slots__ = ("_has_further_request", "_terminated")

    def __init__(self, terminated, has_further_request):
        self._terminated = terminated
        self._has_further_request = has_further_request

    def is_set(self):
        return self._terminated.is_set() and not self._has_further_request()

    async def wait(self):
        await self._terminated.wait()


class _Connection(TCPServer):
    """A connection that is closed after what it has received.

    The time limit for heads is kept by its reader, which it tells when a head ends and
    the next may start. The application is told of further requests by
    `HAS_FURTHER_REQUEST`, and of a disconnect when the client breaks the protocol.
    """

    def __init__(self, app, loop, config, context, reader, writer):
        state = {HAS_FURTHER_REQUEST: self._has_further_request}
        own_context = WorkerContext(None)
        own_context.terminated = _ConnectionStop(
            context.terminated, self._has_further_request
        )
        super().__init__(app, loop, config, own_context, state, reader, writer)
        self._terminated = context.terminated
        # A TLS transport that is closed has none.
        self._peer = writer.get_extra_info("peername")
        self._opened_s = self.loop.time()
        self._has_request = False
        self._close_cause = None
        self._has_left_bytes = None
        self._reading_task = None
        self._input_ended = asyncio.Event()

    def _has_further_request(self):
        """Tell whether bytes of a request behind the current one were received."""
        if self.reader.n_unread:
            return True
        protocol = self.protocol.protocol
        # HTTP/2 does not queue requests.
        return isinstance(protocol, H11Protocol) and bool(
            protocol.connection.trailing_data[0]
        )

    async def run(self):
        try:
            await super().run()
        except asyncio.CancelledError:
            self._close_cause = CUT
            raise
        except OSError:
            # The network lost the client while the connection was being closed.
            self._close_cause = CLOSED_BY_CLIENT
        except Exception:
            self._close_cause = FAULT
            log.exception("fault in a connection")
        finally:
            self._record_close()

    def _record_close(self):
        cause = self._close_cause or CLOSED_BY_CLIENT
        if self.reader.has_timed_out:
            cause = HEAD_TIMEOUT
        record_close(
            self._peer,
            cause,
            self._request_progress(),
            self.loop.time() - self._opened_s,
        )

    def _record_left_bytes(self):
        """Record whether a close that begins now leaves bytes in the socket."""
        if self._has_left_bytes is None:
            self._has_left_bytes = self.reader.n_unread > 0

    async def _close(self):
        self._record_left_bytes()
        await super()._close()

    def _is_reusable(self):
        """Tell whether the client has seen a response after which it may send more."""
        protocol = self.protocol.protocol
        return (
            isinstance(protocol, H11Protocol)
            and protocol.connection.our_state is h11.DONE
            and protocol.connection.their_state is h11.DONE
        )

    def _request_progress(self):
        protocol = getattr(getattr(self, "protocol", None), "protocol", None)
        # HTTP/2 has several requests at a time.
        if not isinstance(protocol, H11Protocol):
            return NO_REQUEST
        progress = request_progress(protocol.connection, self._has_further_request())
        has_unread_request = progress == NO_REQUEST and self._has_left_bytes
        return REQUEST_NOT_READ if has_unread_request else progress

    async def protocol_send(self, event):
        is_http2 = isinstance(self.protocol.protocol, H2Protocol)
        if is_http2:
            tolerate_ended_streams(self.protocol.protocol)
        if isinstance(event, Updated):
            # In HTTP/2, bytes on an idle connection need not be those of a head.
            self.reader.set_awaiting_head(event.idle and not is_http2)
            self._has_request = True
        if isinstance(event, Closed) and self._close_cause is None:
            self._close_cause = STOP if self._is_reusable() else RESPONSE
        if isinstance(event, Closed) and not self.reader.at_eof():
            await self._discard_input()
        await super().protocol_send(event)

    async def _discard_input(self):
        """Read on after a response before the end of its request, or of the input.

        Otherwise the connection is reset, and the client may lose the response.
        """
        protocol = self.protocol.protocol
        if not isinstance(protocol, H11Protocol):
            return
        if (
            protocol.connection.their_state not in (h11.SEND_BODY, h11.ERROR)
            and not self.reader.is_discarding
            and not self._has_further_request()
        ):
            return
        with suppress(NotImplementedError, OSError, RuntimeError):
            self.writer.write_eof()
        self.reader.discard()
        with anyio.move_on_after(DISCARD_TIMEOUT_S), suppress(OSError):
            if asyncio.current_task() is not self._reading_task:
                await self._input_ended.wait()
                return
            # The application may still be at work on a response.
            await self.protocol.handle(Closed())
            await self.reader.read(MAX_RECV)

    def _wrap_next_event(self):
        """Have the events of an HTTP/1 connection end with its last request.

        Each request sets `REQUEST_TARGET` in the state. A limit of heads that is raised
        holds for the connection, too; one that is lowered only for later ones.
        """
        protocol = self.protocol.protocol
        if not isinstance(protocol, H11Protocol):
            return
        announce_early_closes(protocol.connection)
        next_event = protocol.connection.next_event

        def wrapped_next_event():
            if protocol.connection.their_state is h11.MUST_CLOSE:
                # Another event would be an error, and end the response.
                self.reader.discard()
                return h11.NEED_DATA
            raise_head_limit(protocol.connection, self.config.h11_max_incomplete_size)
            if skip_empty_lines(protocol.connection):
                return h11.NEED_DATA
            try:
                event = next_event()
            except h11.RemoteProtocolError as error:
                record_malformed(self._peer, error)
                raise
            if isinstance(event, h11.Request):
                # The preface of HTTP/2 has none, and the state is that of its requests.
                if event.http_version != b"2.0":
                    protocol.connection_state[REQUEST_TARGET] = event.target
                return without_upgrade(event)
            return event

        protocol.connection.next_event = wrapped_next_event

    async def _read_data(self):
        self._reading_task = asyncio.current_task()
        self._wrap_next_event()
        await super()._read_data()
        self._input_ended.set()
        # Otherwise a connection closed by its client stays open until the idle timeout.
        await self.idle_task.stop()

    async def _idle_timeout(self):
        idle_since_s = self.loop.time()
        # The limit may be raised while the connection is idle.
        while (left_s := self._idle_left_s(idle_since_s)) > 0:
            await self._sleep_until_stop(left_s)
        await _receive_pending()
        # A request that has been received stops this task once it is read. Nothing
        # may be awaited between the check and the close. The rest of a head may be on
        # its way.
        head_ends_s = self.loop.time() + (self.config.head_timeout or 0.0)
        n_polls = 0
        while self._has_further_request() and n_polls < MAX_READ_POLLS:
            await asyncio.sleep(READ_POLL_INTERVAL_S)
            n_polls = 0 if self._awaits_rest_of_head(head_ends_s) else n_polls + 1
        self._close_cause = STOP if self._terminated.is_set() else IDLE_TIMEOUT
        self._record_left_bytes()
        with suppress(NotImplementedError, OSError, RuntimeError):
            # At once, as the close takes one more step of the loop, which may be long.
            self.writer.write_eof()
        self.writer.close()

    def _awaits_rest_of_head(self, ends_s):
        """Tell whether, before a stop, a head may come whole by its time limit.

        The limit of a head is kept by the reader, except for one that began before the
        response to the request before it: that one has to end by `ends_s`.
        """
        is_all_read = not self.reader.n_unread
        is_in_time = self.loop.time() < ends_s
        return is_all_read and is_in_time and not self._terminated.is_set()

    def _idle_left_s(self, idle_since_s):
        now_s = self.loop.time()
        left_s = idle_since_s + self.config.keep_alive_timeout - now_s
        if not self._terminated.is_set():
            return left_s
        if self._has_request:
            return 0.0
        # Its client may have sent the first request before it could see the stop.
        return min(left_s, self._opened_s + FIRST_REQUEST_TIMEOUT_S - now_s)

    async def _sleep_until_stop(self, duration_s):
        """Sleep; a stop that is yet to come ends the sleep."""
        if self._terminated.is_set():
            await asyncio.sleep(duration_s)
            return
        with anyio.move_on_after(duration_s):
            await self._terminated.wait()


async def _receive_pending():
    """Let the event loop take what the sockets hold: connections and data."""
    # The first step polls the sockets, the second one follows their callbacks.
    for _ in range(2):
        await asyncio.sleep(0)


def _accept_backlog(listener):
    """Return the connections that wait to be accepted by a listening socket."""
    connections = []
    # There may also be no free descriptor.
    with suppress(OSError):
        while True:
            connection, _ = listener.accept()
            connection.setblocking(False)
            connections.append(connection)
    return connections


async def serve_connections(app, config, stop):
    """Serve an ASGI application until `stop` is set, then close all connections.

    Parameters
    ----------
    app : callable
    config : HeadLimitedConfig
    stop : anyio.Event

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    loop = asyncio.get_running_loop()
    wrapped_app = wrap_app(app, config.wsgi_max_body_size, "asgi")
    context = WorkerContext(None)
    tasks = ConnectionTasks()

    async def serve_connection(reader, writer):
        await _Connection(wrapped_app, loop, config, context, reader, writer)

    def accept(reader, writer):
        tasks.start(serve_connection, reader, writer)

    def make_protocol():
        reader = HeadLimitedReader(config, loop)
        return asyncio.StreamReaderProtocol(reader, accept, loop=loop)

    async def serve_accepted(connection, tls):
        # A handshake that fails ends only its own connection.
        with suppress(OSError):
            await loop.connect_accepted_socket(make_protocol, connection, **tls)

    sockets = config.create_sockets()
    tls_by_listener = {listener: {} for listener in sockets.insecure_sockets}
    if sockets.secure_sockets:
        tls = {
            "ssl": config.create_ssl_context(),
            "ssl_handshake_timeout": config.ssl_handshake_timeout,
        }
        tls_by_listener |= dict.fromkeys(sockets.secure_sockets, tls)
    servers = [
        await loop.create_server(
            make_protocol, backlog=config.backlog, sock=listener, **tls
        )
        for listener, tls in tls_by_listener.items()
    ]
    try:
        await stop.wait()
    finally:
        with anyio.CancelScope(shield=True):
            # Closes idle connections now and busy ones after their response.
            await context.terminated.set()
            # The connections of the backlog are reset with their listener.
            await _receive_pending()
            # One that was just accepted would be dropped with its server.
            for listener in tls_by_listener:
                loop.remove_reader(listener)
            await _receive_pending()
            # Nothing may be awaited between the last look into a backlog and its end.
            accepted = [
                (connection, tls)
                for listener, tls in tls_by_listener.items()
                for connection in _accept_backlog(listener)
            ]
            for server in servers:
                server.close()
            for connection, tls in accepted:
                tasks.start(serve_accepted, connection, tls)
            if sockets.secure_sockets:
                # A connection is registered behind its handshake, which may be under
                # way.
                tasks.start(asyncio.sleep, FIRST_REQUEST_TIMEOUT_S)
            # Connections that were accepted last are not registered yet.
            await _receive_pending()
            if config.cut is None:
                await tasks.wait_until_empty(config.graceful_timeout)
            else:
                await tasks.wait_until_empty_or_set(config.cut)
            tasks.cancel()
            await tasks.wait_until_empty(CANCEL_TIMEOUT_S)
