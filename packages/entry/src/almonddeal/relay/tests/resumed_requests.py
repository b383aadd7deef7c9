"""Requests of callers that resume a stream after a broken connection.

The fakes write their software version into the events. i-1, of version v2, is in the
failure domain of the instances and has no load; i-2 and i-3, of version v1, have some.
"""

from copy import copy

import anyio
import pytest

from almonddeal.announced.announcement import READY
from almonddeal.relay.streams import relay_stream
from almonddeal.relay.tests.fakes import (
    FakeFleet,
    FakeResponseWriter,
    admit_stream,
    make_announcement,
    make_run,
    streams,
)
from almonddeal.relay.tests.stream_runs import LAST
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import NO, AlmonddealError
from almonddeal_common.wire.gen.ttypes import StreamOrigin

DOMAINS = {"i-1": "fd1", "i-2": "fd2", "i-3": "fd3"}
VERSIONS = {"i-1": "v2", "i-2": "v1", "i-3": "v1"}
ONE_VERSION = dict.fromkeys(DOMAINS, "v1")
LAST_RECEIVED = 7


def make_fleet(version_by_target=VERSIONS, **behaviours):
    """Return a fleet of complete streams; `behaviours` by target with ``_``."""
    behaviour_by_target = dict.fromkeys(DOMAINS, streams(1, LAST))
    for name, behaviour in behaviours.items():
        behaviour_by_target[name.replace("_", "-")] = behaviour
    fleet = FakeFleet(behaviour_by_target, DOMAINS, version_by_target)
    add_load(fleet.context)
    return fleet


def add_load(context):
    for target in ("i-2", "i-3"):
        context.load_view.merge(make_run(f"other-{target}", target, n_unread_tokens=0))


def add_origin(context, version="v1", request="req1"):
    origin = StreamOrigin(request, "s", version, int(monotonic_ms()))
    assert context.stream_origins.add(origin)


def share_origins(source, destination):
    """Pass the known origins on, as a control instance does."""
    for origin in source.stream_origins.values():
        destination.stream_origins.add(copy(origin))


def announce(context, target, state=READY, born_ms=1000, version=None):
    """Have an instance receive a new announcement of a target."""
    announcement = make_announcement(
        target, DOMAINS[target], born_ms, state, version=version or VERSIONS[target]
    )
    announcement.sequence = 2
    assert context.targets.merge(announcement)


def resume_request(
    last_event_id=LAST_RECEIVED, request_id="req2", resumed="req1", **changes
):
    """Return the request with which a caller resumes its stream."""
    if resumed is not None:
        changes["resumed_request_id"] = resumed
    return admit_stream(last_event_id=last_event_id, request_id=request_id, **changes)


async def relay_rejected(context, admitted):
    """Relay a request that is rejected; returns the error and the time in ms."""
    started_ms = monotonic_ms()
    writer = FakeResponseWriter()
    with pytest.raises(AlmonddealError) as caught:
        await relay_stream(admitted, context, writer)
    assert writer.status is None
    assert not writer.body
    return caught.value, monotonic_ms() - started_ms


async def relay_whole(context, admitted):
    """Relay a request; returns the writer of its response."""
    writer = FakeResponseWriter()
    with anyio.fail_after(30):
        await relay_stream(admitted, context, writer)
    return writer


def is_rest_of(version, writer, last_event_id=LAST_RECEIVED):
    """Tell whether the rest of a stream arrived, all of it from one version."""
    return (
        writer.is_complete
        and writer.event_ids == list(range(last_event_id + 1, LAST + 1))
        and writer.versions == {version}
    )


def is_not_run(error):
    return error.code.http_status == 503 and error.code.was_run == NO
