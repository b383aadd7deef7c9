"""Calls that a link has sent, and the streams of replies to them."""

from collections import deque

import anyio


class OutgoingCall:
    """State of one outgoing call or stream, in flight or completed.

    Attributes
    ----------
    items : collections.deque
        Messages of a stream that are not read yet.
    changed : anyio.Event
        Set with the next item and when the call is done.
    """

    __slots__ = ("changed", "error", "is_done", "items", "reply")

    def __init__(self):
        self.items = deque()
        self.reply = None
        self.error = None
        self.is_done = False
        self.changed = anyio.Event()

    def complete(self, reply=None, error=None):
        """End the call with a reply or an error, unless it has ended."""
        if self.is_done:
            return
        self.reply = reply
        self.error = error
        self.is_done = True
        self.changed.set()


class IncomingStream:
    """Items that the peer sends in reply to one streaming call.

    Leaving the context before the end of the stream cancels the peer's handler.

    Attributes
    ----------
    reply : object
        Final reply of the peer, once the stream has ended.
    """

    __slots__ = ("_call", "_call_id", "_link", "reply")

    def __init__(self, link, call_id, call):
        self._link = link
        self._call_id = call_id
        self._call = call
        self.reply = None

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        self._link.discard_call(self._call_id, cancel=not self._call.is_done)

    def __aiter__(self):
        return self

    async def __anext__(self):
        call = self._call
        while not call.items:
            if call.error is not None:
                raise call.error
            if call.is_done:
                self.reply = call.reply
                raise StopAsyncIteration
            call.changed = anyio.Event()
            await call.changed.wait()
        return call.items.popleft()
