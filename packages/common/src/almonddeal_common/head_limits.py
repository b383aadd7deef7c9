"""Time limits for the heads of HTTP requests: their request line and headers.

A head has a time limit from its first byte. Hypercorn only limits how long a connection
may be idle, and a client may send a head byte by byte for all of that time.
"""

import asyncio

from hypercorn.config import Config

from almonddeal_common.logs import get_logger
from almonddeal_common.socket_buffers import n_unread_bytes

log = get_logger("http")


class HeadLimitedConfig(Config):
    """Hypercorn configuration with a time limit for request heads.

    Attributes
    ----------
    head_timeout : float or None
        Limit in seconds from the first to the last byte of a head; None for no limit.
    cut : anyio.Event or None
        If given, connections that are open after a stop are closed once it is set; if
        not, after `graceful_timeout`.
    """

    head_timeout = None
    cut = None


class HeadLimitedReader(asyncio.StreamReader):
    """Reads one connection and counts what was received and not read.

    In a long step of the event loop, bytes that are received stay in the socket.

    `read` raises `TimeoutError` when a head takes too long.

    Attributes
    ----------
    has_timed_out : bool
        Whether a head took too long.
    is_discarding : bool
        Whether all further bytes are dropped.
    """

    def __init__(self, config, loop):
        super().__init__(loop=loop)
        self.has_timed_out = False
        self._n_buffered = 0
        self._socket = None
        self._config = config
        self._is_reading_head = True
        self.is_discarding = False
        self._deadline_s = None

    @property
    def n_unread(self):
        """Number of bytes received and not read; those in the socket count, too."""
        in_socket = 0 if self._socket is None else n_unread_bytes(self._socket)
        return self._n_buffered + in_socket

    def set_transport(self, transport):
        """Set the transport of the connection and its socket."""
        super().set_transport(transport)
        self._socket = transport.get_extra_info("socket")

    def set_awaiting_head(self, is_awaiting_head):
        """Set whether the connection waits for a head; resets the time limit."""
        self._is_reading_head = is_awaiting_head
        self._deadline_s = None

    def discard(self):
        """Drop all further bytes; `read` returns only at the end of the input."""
        self.is_discarding = True

    def feed_data(self, data):
        """Count and buffer bytes that were received."""
        self._n_buffered += len(data)
        super().feed_data(data)

    async def read(self, max_bytes):
        """Return the next bytes, or none at the end of the input.

        Raises
        ------
        TimeoutError
            If a head takes too long.
        """
        data = await self._read(max_bytes)
        while data and self.is_discarding:
            data = await self._read(max_bytes)
        return data

    async def _read(self, max_bytes):
        try:
            async with asyncio.timeout_at(self._deadline_s):
                data = await super().read(max_bytes)
        except TimeoutError:
            if not await self._has_received():
                log.info(
                    "closing connection: request head not received within the time "
                    "limit"
                )
                self.has_timed_out = True
                raise
            data = await super().read(max_bytes)
        self._n_buffered -= len(data)
        limit_s = self._config.head_timeout
        if self._is_reading_head and self._deadline_s is None and limit_s is not None:
            self._deadline_s = asyncio.get_running_loop().time() + limit_s
        return data

    async def _has_received(self):
        """Tell whether bytes were received, and let the event loop read them.

        It reads no more from a transport that is being closed.
        """
        while (
            not self._n_buffered and self.n_unread and not self._transport.is_closing()
        ):
            await asyncio.sleep(0)
        return self._n_buffered > 0
