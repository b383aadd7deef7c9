"""Calls to a plain service. An order is passed on at most once by this process."""

from collections import OrderedDict

import anyio
import httpx

from almonddeal_common.codes import (
    NO,
    NOT_REACHED,
    OK,
    ORDER_OUTCOME_UNKNOWN,
    AlmonddealError,
)
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.gen.ttypes import ServiceReply

MAX_KEPT_REPLIES = 10_000
MAX_REPLY_BYTES = 8 * 1024 * 1024
HOP_HEADERS = frozenset(
    ("connection", "content-length", "host", "keep-alive", "transfer-encoding")
)

log = get_logger("calls")


class _Passing:
    """One order on its way through this process."""

    __slots__ = ("event", "reply")

    def __init__(self):
        self.event = anyio.Event()
        self.reply = None


class CallRunner:
    """Passes calls to the service beside this agent.

    Parameters
    ----------
    client : httpx.AsyncClient
    address : Address
        Where the service listens.
    admission : Admission
    group : anyio.abc.TaskGroup
        Runs orders, so that a lost link does not break one off.
    """

    def __init__(self, client, address, admission, group):
        self._client = client
        self._base = f"http://{address}"
        self._admission = admission
        self._group = group
        self._passing_by_order = OrderedDict()

    async def handle_call(self, link, call, emit):
        """Run one call; the link handler of `ServiceCall`."""
        if not call.is_order:
            with self._admission.admitted():
                return await self._send(call)
        passing = self._passing_by_order.get(call.order)
        if passing is None:
            self._admission.check()
            passing = self._passing_by_order[call.order] = _Passing()
            self._group.start_soon(self._run_order, call, passing)
        await passing.event.wait()
        return passing.reply

    async def handle_query(self, link, query, emit):
        """Tell what is known of an order; the link handler of `OrderQuery`."""
        passing = self._passing_by_order.get(query.order)
        if passing is None:
            return ServiceReply(code=ORDER_OUTCOME_UNKNOWN.number, was_run="unknown")
        await passing.event.wait()
        return passing.reply

    async def _run_order(self, call, passing):
        with self._admission.counted():
            passing.reply = await self._send(call)
        passing.event.set()
        if passing.reply.was_run == NO:
            # Nothing left, so the order may be claimed and passed on anew.
            del self._passing_by_order[call.order]
        while len(self._passing_by_order) > MAX_KEPT_REPLIES:
            if not self._forget_oldest():
                return

    def _forget_oldest(self):
        order = next(iter(self._passing_by_order))
        if not self._passing_by_order[order].event.is_set():
            return False
        del self._passing_by_order[order]
        return True

    async def _send(self, call):
        headers = {
            k: v for k, v in call.headers.items() if k.lower() not in HOP_HEADERS
        }
        try:
            response = await self._client.request(
                call.method,
                self._base + call.path,
                headers=headers,
                content=call.body,
                timeout=httpx.Timeout(call.timeout_ms / 1000, connect=1.0),
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return ServiceReply(
                code=NOT_REACHED.number, was_run="no", detail=f"service: {error}"
            )
        except httpx.HTTPError as error:
            log.warning("call to the service failed, %r", error)
            return ServiceReply(
                code=ORDER_OUTCOME_UNKNOWN.number, was_run="unknown", detail=repr(error)
            )
        return _make_reply(response)


def _make_reply(response):
    headers = {k: v for k, v in response.headers.items() if k not in HOP_HEADERS}
    headers.pop("content-encoding", None)
    body = response.content
    if len(body) > MAX_REPLY_BYTES:
        raise AlmonddealError(ORDER_OUTCOME_UNKNOWN, "the reply is too large to keep")
    return ServiceReply(response.status_code, headers, body, OK.number, "yes", "")
