"""Socket server in place of a target, which sends given bytes."""

from contextlib import asynccontextmanager

import anyio
from anyio.abc import SocketAttribute
from anyio.streams.buffered import BufferedByteReceiveStream

from almonddeal_common.address import Address


class RawTarget:
    """Sends bytes after the head of each request, then pieces until it is closed.

    Parameters
    ----------
    start : bytes
    piece : bytes
        Empty to send nothing more and wait.
    interval_s : float
        Delay before each piece.

    Attributes
    ----------
    address : Address
    heads : list of bytes
        Heads of the requests received.
    n_sent_bytes : int
        Bytes sent in pieces.
    """

    def __init__(self, start, piece=b"", interval_s=0.0):
        self._start = start
        self._piece = piece
        self._interval_s = interval_s
        self.address = None
        self.heads = []
        self.n_sent_bytes = 0

    async def handle(self, connection):
        """Serve one connection."""
        async with connection:
            reader = BufferedByteReceiveStream(connection)
            self.heads.append(await reader.receive_until(b"\r\n\r\n", 65_536))
            try:
                await connection.send(self._start)
                while self._piece:
                    await anyio.sleep(self._interval_s)
                    await connection.send(self._piece)
                    self.n_sent_bytes += len(self._piece)
                await anyio.sleep_forever()
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                return

    @asynccontextmanager
    async def serve(self):
        """Listen on a free port in the context; yields a task group."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        self.address = Address("127.0.0.1", port)
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, self.handle)
            yield group
            group.cancel_scope.cancel()
