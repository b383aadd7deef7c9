"""Accepting HTTP connections with a limit on the time that a request's head may take.

Hypercorn bounds how long a connection may be idle, but a caller may send a head a byte
at a time for all of it. The limit here counts from the first byte of the head.
"""

import asyncio

import anyio
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.events import Updated
from hypercorn.utils import wrap_app

from almonddeal_common.logs import get_logger

CANCEL_TIMEOUT_S = 0.5  # for connections to close once they were cancelled

log = get_logger("http")


class HeadLimitedConfig(Config):
    """A hypercorn configuration with ``head_timeout``.

    Attributes
    ----------
    head_timeout : float or None
        Longest time in s from the first byte of a request's head to its last one.
    """

    head_timeout = None


class _HeadLimitedReader:
    """The bytes of one connection; reading fails once a head takes too long."""

    __slots__ = ("_config", "_end_s", "_is_in_head", "_reader")

    def __init__(self, reader, config):
        self._reader = reader
        self._config = config
        self._is_in_head = True
        self._end_s = None

    def set_idle(self, is_idle):
        """Note that the connection awaits a head, or has read one."""
        self._is_in_head = is_idle
        self._end_s = None

    def at_eof(self):
        return self._reader.at_eof()

    async def read(self, max_bytes):
        try:
            async with asyncio.timeout_at(self._end_s):
                data = await self._reader.read(max_bytes)
        except TimeoutError:
            log.info("closes a connection, its request's head did not come in time")
            raise
        limit_s = self._config.head_timeout
        if self._is_in_head and self._end_s is None and limit_s is not None:
            self._end_s = asyncio.get_running_loop().time() + limit_s
        return data


class _Connection(TCPServer):
    """A connection whose reader hears when a head ends and the next one may begin."""

    async def protocol_send(self, event):
        if isinstance(event, Updated):
            self.reader.set_idle(event.idle)
        await super().protocol_send(event)

    async def _read_data(self):
        await super()._read_data()
        # Else the connection stays open until it has been idle for long enough.
        await self.idle_task.stop()


async def serve_connections(app, config, stop):
    """Serve an ASGI application until an event is set, then end what runs.

    Parameters
    ----------
    app : callable
    config : HeadLimitedConfig
    stop : anyio.Event

    Raises
    ------
    OSError
        If the address cannot be listened on.
    """
    loop = asyncio.get_running_loop()
    wrapped = wrap_app(app, config.wsgi_max_body_size, "asgi")
    context = WorkerContext(None)
    scope_by_task = {}

    async def accept(reader, writer):
        task = asyncio.current_task()
        limited = _HeadLimitedReader(reader, config)
        try:
            with anyio.CancelScope() as scope_by_task[task]:
                await _Connection(wrapped, loop, config, context, {}, limited, writer)
        finally:
            del scope_by_task[task]

    sockets = config.create_sockets()
    servers = [
        await asyncio.start_server(accept, backlog=config.backlog, sock=socket)
        for socket in sockets.insecure_sockets
    ]
    servers += [
        await asyncio.start_server(
            accept,
            backlog=config.backlog,
            sock=socket,
            ssl=config.create_ssl_context(),
            ssl_handshake_timeout=config.ssl_handshake_timeout,
        )
        for socket in sockets.secure_sockets
    ]
    try:
        await stop.wait()
    finally:
        # Idle connections end with this; the others after their answer.
        await context.terminated.set()
        for server in servers:
            server.close()
        with anyio.CancelScope(shield=True):
            await _wait_tasks(scope_by_task, config.graceful_timeout)
            for scope in scope_by_task.values():
                scope.cancel()
            await _wait_tasks(scope_by_task, CANCEL_TIMEOUT_S)


async def _wait_tasks(tasks, timeout_s):
    if tasks:
        await asyncio.wait(list(tasks), timeout=timeout_s)
