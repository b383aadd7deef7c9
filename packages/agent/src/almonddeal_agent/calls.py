"""Calls to a plain service, which is a target that is not an engine.

An order is a call that is not idempotent: this process forwards it at most once, and a
repetition gets the recorded reply.
"""

from collections import OrderedDict

import anyio
import httpx

from almonddeal_common.bodies import BodyTooLargeError, read_limited
from almonddeal_common.codes import (
    NO,
    NOT_REACHED,
    OK,
    ORDER_OUTCOME_UNKNOWN,
    UNKNOWN,
)
from almonddeal_common.logs import get_logger
from almonddeal_common.step_timer import fail_after_steps
from almonddeal_common.wire.gen.ttypes import ServiceReply

MAX_KEPT_ORDERS = 10_000
MAX_REPLY_BYTES = 8 * 1024 * 1024
MAX_HTTP_STATUS = 599  # RFC 9110, section 15; h11 accepts three digits
CONNECT_TIMEOUT_S = 1.0
HOP_BY_HOP_HEADERS = frozenset(
    ("connection", "content-length", "host", "keep-alive", "transfer-encoding")
)

log = get_logger("calls")


class _ForwardedOrder:
    """An order forwarded by this process, in flight or with its reply."""

    __slots__ = ("completed", "reply")

    def __init__(self):
        self.completed = anyio.Event()
        self.reply = None


class CallForwarder:
    """Forwards calls to the service of this agent.

    Parameters
    ----------
    client : httpx.AsyncClient
    address : Address
        Listening address of the service.
    admission : Admission
    group : anyio.abc.TaskGroup
        Runs orders, so that losing the link does not cancel them.
    """

    def __init__(self, client, address, admission, group):
        self._client = client
        self._base_url = f"http://{address}"
        self._admission = admission
        self._group = group
        self._forwarded_by_order = OrderedDict()

    async def handle_call(self, link, call, emit):
        """Forward a call and return its reply; the link handler of `ServiceCall`."""
        if not call.is_order:
            with self._admission.admit():
                return await self._send(call)
        forwarded = self._forwarded_by_order.get(call.order)
        if forwarded is None:
            self._admission.check()
            forwarded = self._forwarded_by_order[call.order] = _ForwardedOrder()
            self._group.start_soon(self._forward_order, call, forwarded)
        await forwarded.completed.wait()
        return forwarded.reply

    async def handle_query(self, link, query, emit):
        """Return the reply to an order; the link handler of `OrderQuery`.

        Waits while the order runs. The reply is `ORDER_OUTCOME_UNKNOWN` if this process
        does not know the order.
        """
        forwarded = self._forwarded_by_order.get(query.order)
        if forwarded is None:
            return ServiceReply(code=ORDER_OUTCOME_UNKNOWN.number, was_run="unknown")
        await forwarded.completed.wait()
        return forwarded.reply

    async def _forward_order(self, call, forwarded):
        with self._admission.count_in_flight():
            forwarded.reply = await self._send(call)
        forwarded.completed.set()
        if forwarded.reply.was_run == NO:
            # The order was not sent, so it may be claimed and forwarded again.
            del self._forwarded_by_order[call.order]
        while len(self._forwarded_by_order) > MAX_KEPT_ORDERS:
            if not self._evict_oldest_reply():
                return

    def _evict_oldest_reply(self):
        order = next(iter(self._forwarded_by_order))
        if not self._forwarded_by_order[order].completed.is_set():
            return False
        del self._forwarded_by_order[order]
        return True

    async def _send(self, call):
        """Send a call to the service; whatever the service does, there is a reply."""
        try:
            # The service may send a byte now and then, so the time limit is for all. A
            # reply that came in time is read behind a stall at its end.
            with fail_after_steps(call.timeout_ms / 1000, n_steps=1):
                return await self._exchange(call)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            return ServiceReply(
                code=NOT_REACHED.number, was_run=NO, detail=f"service: {error!r}"
            )
        except (httpx.HTTPError, TimeoutError, BodyTooLargeError) as error:
            log.warning("call to the service failed, outcome unknown: %r", error)
            return _make_unknown_reply(error)
        except Exception as error:
            # A task that failed would end the agent and leave the callers of an order
            # without a reply.
            log.exception("call to the service failed unexpectedly, outcome unknown")
            return _make_unknown_reply(error)

    async def _exchange(self, call):
        headers = {
            k: v for k, v in call.headers.items() if k.lower() not in HOP_BY_HOP_HEADERS
        }
        async with self._client.stream(
            call.method,
            self._base_url + call.path,
            headers=headers,
            content=call.body,
            timeout=httpx.Timeout(None, connect=CONNECT_TIMEOUT_S),
        ) as response:
            if response.status_code > MAX_HTTP_STATUS:
                raise httpx.RemoteProtocolError(
                    f"invalid status {response.status_code}"
                )
            body = await read_limited(response.aiter_bytes(), MAX_REPLY_BYTES)
            return _make_reply(response, body)


def _make_unknown_reply(error):
    return ServiceReply(
        code=ORDER_OUTCOME_UNKNOWN.number, was_run=UNKNOWN, detail=repr(error)
    )


def _make_reply(response, body):
    headers = {k: v for k, v in response.headers.items() if k not in HOP_BY_HOP_HEADERS}
    headers.pop("content-encoding", None)
    return ServiceReply(response.status_code, headers, body, OK.number, "yes", "")
