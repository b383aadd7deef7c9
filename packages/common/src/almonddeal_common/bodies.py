"""Reading of HTTP bodies that may be longer than expected, or without end."""

from anyio.lowlevel import checkpoint

MAX_PIECE_BYTES = 2048  # some hundred of the shortest lines


class BodyTooLargeError(ValueError):
    """A body has more bytes than its reader accepts."""


async def in_pieces(chunks):
    """Yield the bytes of chunks in small pieces; other tasks run after each one.

    To read what is buffered does not wait. A peer that sends tiny chunks or lines
    without end would keep the event loop from all other requests.

    Parameters
    ----------
    chunks : async iterator of bytes
    """
    async for chunk in chunks:
        for start in range(0, len(chunk), MAX_PIECE_BYTES):
            yield chunk[start : start + MAX_PIECE_BYTES]
            await checkpoint()


async def read_limited(chunks, max_bytes):
    """Return the joined chunks of a body.

    Parameters
    ----------
    chunks : async iterator of bytes
    max_bytes : int

    Returns
    -------
    body : bytes

    Raises
    ------
    BodyTooLargeError
        As soon as more than `max_bytes` were received.
    """
    received = []
    n_bytes = 0
    async for piece in in_pieces(chunks):
        n_bytes += len(piece)
        if n_bytes > max_bytes:
            raise BodyTooLargeError(f"more than {max_bytes} bytes")
        received.append(piece)
    return b"".join(received)
