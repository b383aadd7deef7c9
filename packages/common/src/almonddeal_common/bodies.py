"""Reading of HTTP bodies that may be longer than expected, or without end."""


class BodyTooLargeError(ValueError):
    """A body has more bytes than its reader accepts."""


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
    async for chunk in chunks:
        n_bytes += len(chunk)
        if n_bytes > max_bytes:
            raise BodyTooLargeError(f"more than {max_bytes} bytes")
        received.append(chunk)
    return b"".join(received)
