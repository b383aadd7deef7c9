"""HTTP/1.1 over asyncio streams: messages, a client call and a server."""

import asyncio
import time

CONNECT_TIMEOUT_S = 1.0


class Message:
    """Start line, headers by lower-case name, and body of a request or response."""

    __slots__ = ("body", "header_by_name", "start")

    def __init__(self, start, header_by_name, body=b""):
        self.start = start
        self.header_by_name = header_by_name
        self.body = body

    @property
    def method(self):
        """Method of a request."""
        return self.start.split(" ")[0]

    @property
    def path(self):
        """Path and query of a request."""
        return self.start.split(" ")[1]


async def read_head(reader):
    """Return a `Message` without its body; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    header_by_name = {}
    for line in lines:
        name, _, value = line.partition(":")
        header_by_name[name.strip().lower()] = value.strip()
    return Message(start, header_by_name)


async def read_chunks(reader, message):
    """Yield the parts of a body, by its length, its chunks or until the close.

    Raises
    ------
    asyncio.IncompleteReadError, ConnectionError
        If the connection ends within the body.
    """
    if "chunked" in message.header_by_name.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return
            yield data
    elif "content-length" in message.header_by_name:
        yield await reader.readexactly(int(message.header_by_name["content-length"]))
    elif message.start.startswith("HTTP/"):
        while data := await reader.read(65536):
            yield data


def encode_head(start, headers):
    """Return the bytes of a start line and headers."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Answer:
    """What a client saw of one request.

    Attributes
    ----------
    status : int or None
        None without a response head.
    is_complete : bool
        Whether the response ended as the protocol says.
    answered_s, ended_s : float or None
        When the head arrived and when the response or the connection ended, from the
        send.
    """

    def __init__(self):
        self.status = None
        self.header_by_name = {}
        self.body = b""
        self.is_complete = False
        self.answered_s = None
        self.ended_s = None
        self.error = ""


async def call(address, method, path, headers, body=b"", timeout_s=5.0, on_data=None):
    """Send one request on a connection of its own; return its `Answer`.

    Parameters
    ----------
    on_data : callable, optional
        ``on_data(answer)`` is called after each part of the body.
    """
    answer = Answer()
    started_s = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
            lines = {"Host": "h", **headers, "Content-Length": len(body)}
            writer.write(encode_head(f"{method} {path} HTTP/1.1", lines) + body)
            await writer.drain()
            message = await read_head(reader)
            if message is None:
                raise ConnectionError("closed without a response")
            answer.answered_s = time.monotonic() - started_s
            answer.status = int(message.start.split(" ")[1])
            answer.header_by_name = message.header_by_name
            async for data in read_chunks(reader, message):
                answer.body += data
                if on_data is not None:
                    on_data(answer)
            answer.is_complete = True
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        answer.error = type(error).__name__
    finally:
        answer.ended_s = time.monotonic() - started_s
        if writer is not None:
            writer.transport.abort()
    return answer
