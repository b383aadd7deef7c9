"""HTTP serving of ASGI applications with hypercorn."""

import errno
import logging
import math

from almonddeal_common.codes import ADDRESS_IN_USE, AlmonddealError
from almonddeal_common.connections import serve_connections
from almonddeal_common.head_limits import HeadLimitedConfig

GRACEFUL_TIMEOUT_S = 3.0
KEEP_ALIVE_TIMEOUT_S = 30.0
HEAD_TIMEOUT_S = 10.0  # clients send a head at once; this bounds slow ones
BACKLOG = 2048
UNBOUNDED = 0  # size of a queue
BIND_ERRNOS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES)


def make_config(address, tls=None):
    """Return the default hypercorn configuration for an address."""
    config = HeadLimitedConfig()
    config.bind = [str(address)]
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.head_timeout = HEAD_TIMEOUT_S
    # A client that receives a long stream sends nothing for minutes. Slow requests are
    # bounded by the time limits for the head and the body instead.
    config.read_timeout = None
    # A full queue is never emptied after the response, and would hold the connection.
    # Applications read bodies at once, up to their limit, or reject them.
    config.max_app_queue_size = UNBOUNDED
    # Hypercorn would end a connection without regard to further requests on it.
    config.keep_alive_max_requests = math.inf
    config.backlog = BACKLOG
    config.accesslog = None
    config.errorlog = logging.getLogger("almonddeal.http")
    config.include_server_header = False
    if tls is not None:
        config.certfile = tls["certificate"]
        config.keyfile = tls["key"]
    return config


async def serve_http(app, address, stop, tls=None, config=None):
    """Serve an ASGI application until `stop` is set.

    Parameters
    ----------
    app : callable
    address : Address
    stop : anyio.Event
    tls : dict, optional
        Paths of the PEM files ``certificate`` and ``key``.
    config : HeadLimitedConfig, optional
        Default: that of `make_config`.

    Raises
    ------
    AlmonddealError
        `ADDRESS_IN_USE` if the address cannot be bound.
    """
    config = config or make_config(address, tls)
    try:
        await serve_connections(app, config, stop)
    except OSError as error:
        if error.errno not in BIND_ERRNOS:
            raise
        raise AlmonddealError(ADDRESS_IN_USE, f"{address}: {error}") from None
