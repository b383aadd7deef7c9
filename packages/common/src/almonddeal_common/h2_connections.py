"""What connections of HTTP/2 do beyond, or other than, hypercorn."""

from functools import partial

import h2.errors


class _EndedStream:
    """Drops the rest of a request that was refused, or has its whole response."""

    __slots__ = ()

    async def handle(self, event):
        pass


class _Streams(dict):
    """Open streams by id; others are ended ones."""

    def __missing__(self, stream_id):
        return _EndedStream()


def tolerate_ended_streams(protocol):
    """Have frames of ended streams dropped, and requests at a stop refused as not run.

    Hypercorn fails the connection, and with it all other requests, at the body of a
    request that it has refused or answered. It refuses one without saying that it was
    not run, so that a client can't send it again.

    Parameters
    ----------
    protocol : hypercorn.protocol.h2.H2Protocol
    """
    if isinstance(protocol.streams, _Streams):
        return
    protocol.streams = _Streams(protocol.streams)
    connection = protocol.connection
    connection.reset_stream = partial(
        connection.reset_stream, error_code=h2.errors.ErrorCodes.REFUSED_STREAM
    )
