"""Scripted targets that state in their responses that they are about to leave."""

import anyio

from almonddeal.relay.plain import relay_plain
from almonddeal.relay.requests import TargetResponse
from almonddeal.relay.streams import relay_stream
from almonddeal.relay.tests.fakes import FakeResponseWriter, ResponseHead, streams
from almonddeal.relay.tests.stream_runs import LAST
from almonddeal_common.codes import AlmonddealError

DOMAINS = {"i-1": "fd1", "i-2": "fd2", "i-3": "fd3"}
N_REQUESTS = 20


def says_leaving(head=None, body=b"whole", took_s=0.05):
    """Return a behaviour: one response that states that the target leaves."""

    async def steps(attempt):
        await anyio.sleep(took_s)
        yield head or ResponseHead(200, is_leaving=True)
        yield body

    return steps


def streams_leaving(lose_at=None, gap_s=0.002, last=LAST):
    """Return a behaviour: a stream whose head states that the engine leaves."""

    async def steps(attempt):
        events = streams(1, last, lose_at, gap_s=gap_s)(attempt)
        yield ResponseHead(await anext(events), is_leaving=True)
        async for event in events:
            yield event

    return steps


def mark_leaving(context, target_id):
    """Have an instance receive a response that states that a target leaves."""
    announcement = context.targets.get(target_id).announcement
    record(context.targets, announcement)
    assert context.targets.get(target_id).is_leaving


def record(targets, announcement, status=200, **changes):
    values = {"is_misdirected": False, "is_authentic": True, "is_leaving": True}
    response = TargetResponse(
        status=status,
        headers=[],
        is_not_run=False,
        reported_counts=None,
        chunks=None,
        **{**values, **changes},
    )
    targets.record_response(announcement, response, "req1")


async def relay(context, admitted):
    """Relay one request; returns the writer of its response, with its error if any."""
    writer = FakeResponseWriter()
    serve = relay_plain if admitted.service.engine is None else relay_stream
    try:
        await serve(admitted, context, writer)
    except AlmonddealError as error:
        writer.error = error
    return writer
