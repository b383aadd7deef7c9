"""Time limits for the heads of HTTP requests: their request line and headers.

A head has a time limit from its first byte. Hypercorn only limits how long a connection
may be idle, and a client may send a head byte by byte for all of that time.
"""

import asyncio

from hypercorn.config import Config

from almonddeal_common.logs import get_logger

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

    `read` raises `TimeoutError` when a head takes too long.

    Attributes
    ----------
    has_timed_out : bool
        Whether a head took too long.
    n_unread : int
        Number of bytes that have been received and not been read.
    is_discarding : bool
        Whether all further bytes are dropped.
    """

    def __init__(self, config, loop):
        super().__init__(loop=loop)
        self.has_timed_out = False
        self.n_unread = 0
        self._config = config
        self._is_reading_head = True
        self.is_discarding = False
        self._deadline_s = None

    def set_awaiting_head(self, is_awaiting_head):
        """Set whether the connection waits for a head; resets the time limit."""
        self._is_reading_head = is_awaiting_head
        self._deadline_s = None

    def discard(self):
        """Drop all further bytes; `read` returns only at the end of the input."""
        self.is_discarding = True

    def feed_data(self, data):
        """Count and buffer bytes that were received."""
        self.n_unread += len(data)
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
            log.info(
                "closing connection: request head not received within the time limit"
            )
            self.has_timed_out = True
            raise
        self.n_unread -= len(data)
        limit_s = self._config.head_timeout
        if self._is_reading_head and self._deadline_s is None and limit_s is not None:
            self._deadline_s = asyncio.get_running_loop().time() + limit_s
        return data
