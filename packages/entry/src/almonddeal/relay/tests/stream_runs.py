"""Relay of streamed requests to scripted engines, in virtual time."""

import anyio

from almonddeal.relay.streams import relay_stream
from almonddeal.relay.tests.fakes import (
    FakeResponseWriter,
    admit_stream,
)
from almonddeal_common.virtual_time import run_in_virtual_time

LAST = 20
TWO_DOMAINS = {"i-1": "fd1", "i-2": "fd2"}


def relay(fleet, admitted=None, writer=None):
    """Relay one streamed request; returns the writer of its response."""

    async def main():
        used_writer = writer or FakeResponseWriter()
        with anyio.fail_after(30):
            await relay_stream(admitted or admit_stream(), fleet.context, used_writer)
        return used_writer

    return run_in_virtual_time(main)


def is_complete_response(writer):
    """Tell whether each event arrived once and in order, followed by the end."""
    return writer.is_complete and writer.event_ids == list(range(1, LAST + 1))
