"""Serving an ASGI application with hypercorn on an address of the settings."""

import logging
from signal import SIGINT, SIGTERM

import anyio

from almonddeal_common.codes import ADDRESS_IN_USE, AlmonddealError
from almonddeal_common.connections import HeadLimitedConfig, serve_connections

GRACEFUL_TIMEOUT_S = 3.0
KEEP_ALIVE_TIMEOUT_S = 30.0
HEAD_TIMEOUT_S = 10.0  # a caller sends a head in one piece; this bounds the slowest
BACKLOG = 2048


def make_config(address, tls=None):
    """Return the hypercorn configuration for an address."""
    config = HeadLimitedConfig()
    config.bind = [str(address)]
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.head_timeout = HEAD_TIMEOUT_S
    # A caller of a long answer sends nothing for minutes; slow requests are bounded by
    # the time for their head and the one for their body.
    config.read_timeout = None
    config.backlog = BACKLOG
    config.accesslog = None
    config.errorlog = logging.getLogger("almonddeal.http")
    config.include_server_header = False
    if tls is not None:
        config.certfile = tls["certificate"]
        config.keyfile = tls["key"]
    return config


async def serve_http(app, address, stop, tls=None, config=None):
    """Serve until the event `stop` is set.

    Parameters
    ----------
    app : callable
        ASGI application.
    address : Address
    stop : anyio.Event
    tls : dict, optional
        Files ``certificate`` and ``key``.
    config : HeadLimitedConfig, optional
        In place of the usual one for the address.
    """
    config = config or make_config(address, tls)
    try:
        await serve_connections(app, config, stop)
    except OSError as error:
        raise AlmonddealError(ADDRESS_IN_USE, f"{address}: {error}") from None


async def wait_for_stop(stop):
    """Set `stop` when the process is told to end (SIGTERM or SIGINT)."""
    with anyio.open_signal_receiver(SIGTERM, SIGINT) as signals:
        async for _ in signals:
            stop.set()
            return
