"""Links: connections between two processes, with calls, streams and pings.

Each side may call the other. A link that receives nothing for `SILENCE_LIMIT_MS` is
closed, so that no call waits longer for a process that is paused or partitioned.
"""

from inspect import iscoroutinefunction

import anyio
from anyio import create_task_group, fail_after

from almonddeal_common.clock import boot_ms, monotonic_ms
from almonddeal_common.codes import (
    DEADLINE,
    INTERNAL,
    LINK_LOST,
    PROTOCOL_MISMATCH,
    AlmonddealError,
    error_from_wire,
)
from almonddeal_common.logs import get_logger
from almonddeal_common.pauses import PauseDetector
from almonddeal_common.wire.calls import IncomingStream, OutgoingCall
from almonddeal_common.wire.codec import KIND_BY_TYPE, FrameReader, encode_frame
from almonddeal_common.wire.gen.constants import PROTOCOL_VERSION
from almonddeal_common.wire.gen.ttypes import Fault, Hello, Ok, Phase, Ping

PING_INTERVAL_MS = 400
SILENCE_LIMIT_MS = 1500
HANDSHAKE_TIMEOUT_S = 2.0
RECEIVE_BYTES = 65536
MAX_OUTGOING_BYTES = 32 * 1024 * 1024  # beyond it, the link is closed
LOWEST_PROTOCOL_VERSION = 1

_CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)

PING_KIND = KIND_BY_TYPE[Ping]

log = get_logger("wire")


class Link:
    """A connection over which both processes can call each other.

    Parameters
    ----------
    stream : anyio.abc.SocketStream
    hello : Hello
        Handshake message of this process.
    handler_by_type : dict
        Maps a message type to ``async handler(link, message, emit)``, which returns the
        reply; ``emit(item)`` sends an item of a stream. A synchronous function
        ``handler(message)`` is called inline, without a task of its own.

    Attributes
    ----------
    peer : Hello or None
        Handshake message of the peer, once received.
    ready : anyio.Event
        Set after the handshake.
    closed : anyio.Event
        Set when the link has closed.
    last_received_boot_ms : float
        When the peer was last heard, as `boot_ms`.
    """

    def __init__(self, stream, hello, handler_by_type):
        self._stream = stream
        self._hello = hello
        self._handler_by_type = handler_by_type
        self._call_by_id = {}
        self._scope_by_id = {}
        self._next_id = 0
        self._outgoing = []
        self._outgoing_bytes = 0
        self._outgoing_ready = anyio.Event()
        self._last_received_ms = monotonic_ms()
        self.last_received_boot_ms = boot_ms()
        self._last_sent_ms = 0.0
        self._group = None
        self._closed_reason = None
        self.n_sent_bytes = 0
        self.n_received_bytes = 0
        self.peer = None
        self.ready = anyio.Event()
        self.closed = anyio.Event()

    @property
    def is_open(self):
        """Whether the handshake is done and the link has not closed."""
        return self.ready.is_set() and not self.closed.is_set()

    async def run(self):
        """Serve the link until it closes; returns the reason as text."""
        try:
            await self._serve_connection(FrameReader())
        except* _CONNECTION_ERRORS:
            self._closed_reason = "connection broken"
        except* AlmonddealError as group:
            self._closed_reason = str(group.exceptions[0])
        except* Exception as group:
            # Such as a handshake that cannot be decoded. The peer chooses the bytes, so
            # an error ends this link and not the process.
            log.exception("link failed", exc_info=group)
            self._closed_reason = f"failed: {group.exceptions[0]!r}"
        finally:
            self._set_closed()
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self._stream)
        return self._closed_reason

    async def _serve_connection(self, reader):
        early_frames = await self._handshake(reader)
        async with create_task_group() as group:
            self._group = group
            self.ready.set()
            group.start_soon(self._write_frames)
            group.start_soon(self._send_pings)
            for frame in early_frames:
                self._dispatch(frame)
            await self._read_frames(reader)
            group.cancel_scope.cancel()

    async def _handshake(self, reader):
        with fail_after(HANDSHAKE_TIMEOUT_S):
            await self._stream.send(encode_frame(Phase.NOTICE, 0, self._hello))
            frames = []
            while not frames:
                frames = reader.feed(await self._stream.receive(RECEIVE_BYTES))
        hello = frames[0].message()
        if not isinstance(hello, Hello):
            raise AlmonddealError(PROTOCOL_MISMATCH, "no hello")
        if hello.protocol_version < LOWEST_PROTOCOL_VERSION:
            raise AlmonddealError(PROTOCOL_MISMATCH, f"peer {hello.instance} too old")
        if hello.lowest_version > PROTOCOL_VERSION:
            raise AlmonddealError(PROTOCOL_MISMATCH, f"peer {hello.instance} too new")
        self.peer = hello
        self._last_received_ms = monotonic_ms()
        return frames[1:]

    async def _read_frames(self, reader):
        while True:
            try:
                data = await self._stream.receive(RECEIVE_BYTES)
            except anyio.EndOfStream:
                self._closed_reason = "closed by peer"
                return
            self._last_received_ms = monotonic_ms()
            self.last_received_boot_ms = boot_ms()
            self.n_received_bytes += len(data)
            for frame in reader.feed(data):
                self._dispatch(frame)

    def _dispatch(self, frame):
        if frame.phase == Phase.CALL:
            handler = self._handler_by_type.get(frame.type)
            if handler is not None and not iscoroutinefunction(handler):
                self._handle_call_inline(frame, handler)
            else:
                # Registered here, as its cancellation may be read together with it.
                scope = self._scope_by_id[frame.call_id] = anyio.CancelScope()
                self._group.start_soon(self._handle_call, frame, scope)
        elif frame.phase == Phase.NOTICE:
            if frame.kind != PING_KIND:
                self._group.start_soon(self._handle_notice, frame)
        elif frame.phase == Phase.CANCEL:
            scope = self._scope_by_id.get(frame.call_id)
            if scope is not None:
                scope.cancel()
        else:
            self._dispatch_result(frame)

    def _handle_call_inline(self, frame, handler):
        try:
            self._send(Phase.REPLY, frame.call_id, handler(frame.message()))
        except Exception as error:
            self._send_fault(frame, error)

    def _send_fault(self, frame, error):
        """Reply to a call with the error of its handler, and log unexpected ones."""
        if isinstance(error, AlmonddealError):
            fault = Fault(error.code.number, error.detail)
        else:
            log.error("handler of message kind %s failed", frame.kind, exc_info=error)
            fault = Fault(INTERNAL.number, "handler failed")
        self._send(Phase.FAULT, frame.call_id, fault)

    def _dispatch_result(self, frame):
        call = self._call_by_id.get(frame.call_id)
        if call is None:
            return
        try:
            message = frame.message()
        except Exception as error:
            log.error("reply of kind %s is malformed: %r", frame.kind, error)
            call.complete(error=AlmonddealError(LINK_LOST, "malformed reply"))
            return
        if frame.phase == Phase.ITEM:
            call.items.append(message)
            call.changed.set()
        elif frame.phase == Phase.REPLY:
            call.complete(reply=message)
        else:
            call.complete(error=error_from_wire(message.code, message.detail))

    async def _handle_call(self, frame, scope):
        call_id = frame.call_id

        def emit(item):
            self._send(Phase.ITEM, call_id, item)

        with scope:
            try:
                if scope.cancel_called:
                    return
                reply = await self._run_handler(frame, emit)
                self._send(Phase.REPLY, call_id, reply or Ok())
            except Exception as error:
                self._send_fault(frame, error)
            finally:
                self._scope_by_id.pop(call_id, None)

    async def _handle_notice(self, frame):
        try:
            await self._run_handler(frame, None)
        except Exception:
            log.exception("handler of notice kind %s failed", frame.kind)

    async def _run_handler(self, frame, emit):
        message = frame.message()
        handler = self._handler_by_type.get(type(message))
        if handler is None:
            raise AlmonddealError(PROTOCOL_MISMATCH, f"kind {frame.kind} not served")
        return await handler(self, message, emit)

    async def _write_frames(self):
        while True:
            await self._outgoing_ready.wait()
            self._outgoing_ready = anyio.Event()
            data = b"".join(self._outgoing)
            self._outgoing.clear()
            self._outgoing_bytes = 0
            self.n_sent_bytes += len(data)
            await self._stream.send(data)

    async def _send_pings(self):
        """Send pings when nothing else is sent; ends the link if the peer is silent."""
        pauses = PauseDetector()
        while True:
            pause_ms = await pauses.sleep(PING_INTERVAL_MS / 1000)
            now_ms = monotonic_ms()
            # While this process was stalled it could not receive, so the silence does
            # not show that the peer failed. Allow half of the limit for its next frame.
            if pause_ms:
                self._last_received_ms = max(
                    self._last_received_ms, now_ms - SILENCE_LIMIT_MS / 2
                )
            if now_ms - self._last_received_ms > SILENCE_LIMIT_MS:
                raise AlmonddealError(LINK_LOST, "peer silent")
            if now_ms - self._last_sent_ms > PING_INTERVAL_MS / 2:
                self._send(Phase.NOTICE, 0, Ping(int(now_ms * 1000)))

    def _send(self, phase, call_id, message):
        if self.closed.is_set():
            return
        data = encode_frame(phase, call_id, message)
        self._last_sent_ms = monotonic_ms()
        self._outgoing.append(data)
        self._outgoing_bytes += len(data)
        if self._outgoing_bytes > MAX_OUTGOING_BYTES:
            self.close(f"peer left more than {MAX_OUTGOING_BYTES} bytes unread")
        self._outgoing_ready.set()

    def _start_call(self, message):
        if not self.is_open:
            raise AlmonddealError(LINK_LOST, "link is not open")
        self._next_id += 1
        self._send(Phase.CALL, self._next_id, message)
        call = self._call_by_id[self._next_id] = OutgoingCall()
        return self._next_id, call

    def discard_call(self, call_id, cancel):
        """Discard an outgoing call; cancels the peer's handler if `cancel` is true."""
        self._call_by_id.pop(call_id, None)
        if cancel and self.is_open:
            self._send(Phase.CANCEL, call_id, Ok())

    def _set_closed(self):
        """Mark the link as closed and fail its calls."""
        self.closed.set()
        for call in self._call_by_id.values():
            call.complete(
                error=AlmonddealError(LINK_LOST, self._closed_reason or "closed")
            )
        self._call_by_id.clear()

    async def call(self, message, timeout_ms=None, is_cancellable=True):
        """Send a message and return the peer's reply.

        Without a timeout, the call waits until the reply arrives or the link closes. If
        it ends before, the peer cancels its handler if `is_cancellable` is true.

        Raises
        ------
        AlmonddealError
            `LINK_LOST` if the link closes, `DEADLINE` after `timeout_ms`, or the error
            that the peer's handler raised.
        """
        call_id, call = self._start_call(message)
        try:
            if timeout_ms is None:
                await call.changed.wait()
            else:
                with anyio.move_on_after(timeout_ms / 1000):
                    await call.changed.wait()
        finally:
            self.discard_call(call_id, cancel=is_cancellable and not call.is_done)
        if call.error is not None:
            raise call.error
        if not call.is_done:
            raise AlmonddealError(DEADLINE, f"no reply within {timeout_ms:.0f} ms")
        return call.reply

    def open_stream(self, message):
        """Send a message to a streaming handler; returns an `IncomingStream`."""
        call_id, call = self._start_call(message)
        return IncomingStream(self, call_id, call)

    def notify(self, message):
        """Send a message without a reply, if the link is open; log one that fails."""
        try:
            if self.is_open:
                self._send(Phase.NOTICE, 0, message)
        except AlmonddealError as error:
            log.error("notice is not sent: %s", error)

    def close(self, reason="closed by this process"):
        """Close the link; its calls fail with the reason."""
        if self._closed_reason is None:
            self._closed_reason = reason
        if self._group is not None:
            self._group.cancel_scope.cancel()
