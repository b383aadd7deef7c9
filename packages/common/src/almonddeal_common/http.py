"""Serving an ASGI application with hypercorn on an address of the settings."""

import logging
from signal import SIGINT, SIGTERM

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

from almonddeal_common.codes import ADDRESS_IN_USE, AlmonddealError

GRACEFUL_TIMEOUT_S = 3.0
KEEP_ALIVE_TIMEOUT_S = 60.0
READ_TIMEOUT_S = 30
BACKLOG = 2048


def _config(address, tls):
    config = Config()
    config.bind = [str(address)]
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.read_timeout = READ_TIMEOUT_S
    config.backlog = BACKLOG
    config.accesslog = None
    config.errorlog = logging.getLogger("almonddeal.http")
    config.include_server_header = False
    if tls is not None:
        config.certfile = tls["certificate"]
        config.keyfile = tls["key"]
    return config


async def serve_http(app, address, stop, tls=None):
    """Serve until the event `stop` is set.

    Parameters
    ----------
    app : callable
        ASGI application.
    address : Address
    stop : anyio.Event
    tls : dict, optional
        Files ``certificate`` and ``key``.
    """
    try:
        await serve(app, _config(address, tls), shutdown_trigger=stop.wait)
    except OSError as error:
        raise AlmonddealError(ADDRESS_IN_USE, f"{address}: {error}") from None


async def wait_for_stop(stop):
    """Set `stop` when the process is told to end (SIGTERM or SIGINT)."""
    with anyio.open_signal_receiver(SIGTERM, SIGINT) as signals:
        async for _ in signals:
            stop.set()
            return
