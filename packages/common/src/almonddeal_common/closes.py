"""Records of closed HTTP connections.

Each close is counted by its cause and by how far the last request had come. One that a
client may see as a lost request is logged, with the address of the client.
"""

from hypercorn.protocol.h11 import h11

from almonddeal_common.logs import decide, get_logger
from almonddeal_common.metrics import Counter

# Causes of a close.
CLOSED_BY_CLIENT = "client"
CUT = "cut"  # the server stops, and does not wait any longer
FAULT = "fault"  # of our own, in a task of the connection
HEAD_TIMEOUT = "head timeout"
IDLE_TIMEOUT = "idle timeout"
# The last one, one that breaks off, or one to a malformed request.
RESPONSE = "response"
STOP = "stop"

# How far the last request of a closed connection had come.
NO_REQUEST = "none"
REQUEST_NOT_READ = "request not read"  # its bytes were left in the socket
REQUEST_INCOMPLETE = "request incomplete"
RESPONSE_NOT_STARTED = "response not started"
RESPONSE_INCOMPLETE = "response incomplete"

MAX_DETAIL_CHARS = 200  # of an error, which may quote what the client sent

log = get_logger("http")
n_closed = Counter(
    "almonddeal_http_connections_closed_total",
    "Closed connections by cause and by how far the last request had come.",
)


def request_progress(connection, has_further_request):
    """Return how far the last request of an HTTP/1 connection has come.

    Parameters
    ----------
    connection : h11.Connection
    has_further_request : bool
        Whether bytes of a request behind the current one were received.
    """
    if connection.our_state is h11.SEND_BODY:
        return RESPONSE_INCOMPLETE
    if connection.our_state is h11.SEND_RESPONSE:
        if connection.their_state is h11.SEND_BODY:
            return REQUEST_INCOMPLETE
        return RESPONSE_NOT_STARTED
    return REQUEST_INCOMPLETE if has_further_request else NO_REQUEST


def record_close(peer, cause, progress, open_s):
    """Count a close, and log it unless it was expected.

    Parameters
    ----------
    peer : tuple or None
        Address of the client.
    cause, progress : str
    open_s : float
        How long the connection was open.
    """
    n_closed.inc({"cause": cause, "request": progress})
    if cause in (CLOSED_BY_CLIENT, RESPONSE) and progress == NO_REQUEST:
        return
    decide(
        log,
        "connection closed",
        client=_describe(peer),
        cause=cause,
        last_request=progress,
        open_ms=round(1000 * open_s),
    )


def record_malformed(peer, error):
    """Log a request that breaks the protocol or a limit; it ends its connection.

    Parameters
    ----------
    peer : tuple or None
        Address of the client.
    error : h11.RemoteProtocolError
    """
    decide(
        log,
        "malformed request",
        client=_describe(peer),
        status=error.error_status_hint,
        detail=str(error)[:MAX_DETAIL_CHARS],
    )


def _describe(peer):
    return f"{peer[0]}:{peer[1]}" if peer else None
