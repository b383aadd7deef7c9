"""What connections of HTTP/1 do beyond, or other than, h11 and hypercorn."""

from hypercorn.protocol.h11 import h11

CLOSE = (b"connection", b"close")
EMPTY_LINE = b"\r\n"


def without_upgrade(request):
    """Return a request without the offer of another protocol, if it has one.

    A server need not take it. Hypercorn would, and respond in HTTP/2 to a client that
    does not name all that this needs, or fail a request for a WebSocket.
    """
    headers = [(name, value) for name, value in request.headers if name != b"upgrade"]
    if len(headers) == len(request.headers):
        return request
    return h11.Request(
        method=request.method,
        target=request.target,
        headers=headers,
        http_version=request.http_version,
    )


def raise_head_limit(connection, max_bytes):
    """Raise the size limit of the heads of an open HTTP/1 connection."""
    # h11 has no other way to change it.
    connection._max_incomplete_event_size = max(
        connection._max_incomplete_event_size, max_bytes
    )


def skip_empty_lines(connection):
    """Drop empty lines before a request line, which some clients send behind a body.

    Returns whether a part of one is left, of which the rest may follow.
    """
    if connection.their_state is not h11.IDLE:
        return False
    data, is_closed = connection.trailing_data
    n_bytes = 0
    while data.startswith(EMPTY_LINE, n_bytes):
        n_bytes += len(EMPTY_LINE)
    if n_bytes:
        connection._receive_buffer.maybe_extract_at_most(n_bytes)
    return data[n_bytes:] == EMPTY_LINE[:1] and not is_closed


def announce_early_closes(connection):
    """Have a response head before the end of its request announce the close.

    Hypercorn closes the connection behind such a response. A client that is not told
    sends its next request there, which gets no answer.
    """
    send = connection.send

    def send_announced(event):
        is_head = isinstance(event, h11.Response)
        if is_head and connection.their_state is h11.SEND_BODY:
            event = h11.Response(
                status_code=event.status_code, headers=[*event.headers, CLOSE]
            )
        return send(event)

    connection.send = send_announced
