"""Stand-in servers of the platform: a plain service and an engine.

They register with heartbeats, answer 421 to requests for another server, and echo the
id of each request, as the page on the protocol says.
"""

import asyncio
import json
import random
import time
from contextlib import suppress

from standins.http import call, encode_head, read_chunks, read_head

HEARTBEAT_INTERVAL_S = 1.2
CONTROL_PORT = 8748
SERVER_PORT = 8080
PIECE_INTERVAL_S = 0.03
HANDLE_TTL_S = 4.0


class Server:
    """One server: its listener, its heartbeats and what it ran.

    Parameters
    ----------
    fleet : Fleet
    instance_id : str
    host : str
        Loopback address.
    service : str
    zone : str
    version : str
        Of its software.
    capacity : int

    Attributes
    ----------
    is_reporting : bool
        Whether its heartbeats reach control.
    state : str
        Of its heartbeats.
    acknowledged : set of str
        States that control has acknowledged.
    """

    kind = "plain"

    def __init__(
        self, fleet, instance_id, host, service, zone, version="v1", capacity=8
    ):
        self.fleet = fleet
        self.instance_id = instance_id
        self.host = host
        self.service = service
        self.zone = zone
        self.version = version
        self.capacity = capacity
        self.state = "ready"
        self.is_reporting = True
        self.acknowledged = set()
        self.started = set()
        self.n_running = 0
        self._sequence = 0
        self._listener = None
        self._beats = None
        self._writers = set()
        self.born_ms = 0

    def __repr__(self):
        return f"{self.instance_id} {self.version}"

    async def start(self):
        """Start a new incarnation: listener, then heartbeats."""
        self.born_ms = int(time.time() * 1000)
        self._sequence = 0
        self._listener = await asyncio.start_server(
            self._serve, self.host, SERVER_PORT, limit=1 << 22
        )
        self._beats = asyncio.create_task(self._send_heartbeats())
        self.fleet.record.add(f"server {self} starts, born {self.born_ms}")

    def crash(self):
        """End all connections and the listener at once, without a word to control."""
        self.fleet.record.add(f"server {self} crashes")
        self._beats.cancel()
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self):
        """Stop at the end of the case."""
        if self._listener is not None:
            self._beats.cancel()
            self._listener.close()

    async def _send_heartbeats(self):
        while True:
            if self.is_reporting:
                await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def send_heartbeat(self):
        """Send one heartbeat, to the next control node after a failure."""
        self._sequence += 1
        state = self.state
        content = {
            "service": self.service,
            "address": f"{self.host}:{SERVER_PORT}",
            "zone": self.zone,
            "version": self.version,
            "capacity": self.capacity,
            "state": state,
            "warmup-left-ms": 0,
            "phase": "mixed",
            "models": [],
            "sequence": self._sequence,
            "born": self.born_ms,
        }
        path = f"/-/Instances.Heartbeat/{self.instance_id}"
        for host in random.sample(self.fleet.control_hosts, 3):
            answer = await call(
                (host, CONTROL_PORT),
                "POST",
                path,
                {"Content-Type": "application/json"},
                json.dumps(content).encode(),
                1.0,
            )
            if answer.status is not None and answer.status < 300:
                if state not in self.acknowledged:
                    self.acknowledged.add(state)
                    self.fleet.record.add(f"{state} of {self} is acknowledged")
                return

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await self._serve_requests(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve_requests(self, reader, writer):
        while (request := await read_head(reader)) is not None:
            request.body = b"".join([c async for c in read_chunks(reader, request)])
            if request.path == "/-/report":
                self.answer_query(writer, self.report())
            elif request.path == "/healthz":
                lines = {
                    "X-Almonddeal-Instance-Id": self.instance_id,
                    "Content-Length": 0,
                }
                writer.write(encode_head("HTTP/1.1 200 OK", lines))
            elif request.path.startswith("/-/"):
                await self.handle_query(request, writer)
            else:
                await self._serve_request(request, reader, writer)
            await writer.drain()

    def report(self):
        """Return the content of the report."""
        return {"born": self.born_ms, "phase": "mixed", "models": [], "busy": False}

    async def handle_query(self, request, writer):
        """Answer a query other than of the report."""
        writer.write(encode_head("HTTP/1.1 404 No", {"Content-Length": 0}))

    def answer_query(self, writer, content):
        """Write a JSON response."""
        body = json.dumps(content).encode()
        lines = {"Content-Type": "application/json", "Content-Length": len(body)}
        writer.write(encode_head("HTTP/1.1 200 OK", lines) + body)

    async def _serve_request(self, request, reader, writer):
        request_id = request.header_by_name.get("x-almonddeal-attempt-id", "")
        expected = request.header_by_name.get("x-almonddeal-expected-instance")
        if expected not in (None, self.instance_id):
            self.fleet.record.add(f"{self} gets {request_id}, meant for {expected}")
            lines = {"Content-Length": 0, "X-Almonddeal-Attempt-Id": request_id}
            writer.write(encode_head("HTTP/1.1 421 Misdirected", lines))
            return
        self.fleet.record.add(f"{self} gets {request_id} {request.start}")
        # A sound server drops a request whose connection closes.
        work = asyncio.create_task(self.run(request, request_id, writer))
        closed = asyncio.create_task(reader.read(1))
        self.n_running += 1
        await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
        self.n_running -= 1
        if not work.done():
            self.fleet.record.add(f"{self} drops {request_id}, its caller left")
        work.cancel()
        closed.cancel()
        with suppress(asyncio.CancelledError, ConnectionError):
            await work
        with suppress(asyncio.CancelledError):
            await closed

    def head(self, request_id, status="200 OK", **lines):
        """Return the head of a signed response."""
        headers = {
            "X-Almonddeal-Attempt-Id": request_id,
            "X-Almonddeal-Server-Signature": f"{self.instance_id}.{request_id}",
            "X-Almonddeal-Server-Load": f"{self.n_running},0,{self.capacity}",
        }
        names = {name.replace("_", "-"): value for name, value in lines.items()}
        return encode_head(f"HTTP/1.1 {status}", {**headers, **names})

    def begin(self, request_id):
        """Record that a request runs here."""
        self.started.add(request_id)
        self.fleet.record.add(f"{self} runs {request_id}")

    async def run(self, request, request_id, writer):
        """Run one request and write its response."""
        self.begin(request_id)
        await asyncio.sleep(0.02)
        body = f"{self.instance_id} {request_id}".encode()
        writer.write(self.head(request_id, Content_Length=len(body)) + body)
        await writer.drain()


class Engine(Server):
    """An engine; each event names the run whose memory it came from.

    Attributes
    ----------
    copy_by_id : dict of str to str
        Of KV cache copies kept here: the run whose memory each holds, by its id.
    """

    kind = "engine"
    n_events = 60

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.copy_by_id = {}
        self.memory_by_run = {}
        self._n_handles = 0

    async def start(self):
        """Start a new incarnation, which holds nothing of before."""
        self.copy_by_id = {}
        self.memory_by_run = {}
        await super().start()

    def report(self):
        """Return the content of the report."""
        counts = {"active": len(self.memory_by_run), "queued": 0}
        return {**super().report(), **counts, "kv-limit": 55000}

    async def handle_query(self, request, writer):
        """Answer queries of the KV cache."""
        if request.path.startswith("/-/kv-list"):
            self.answer_query(writer, {"epoch": 1, "next": 1, "held": []})
        elif request.path == "/-/kv-move":
            self._move(json.loads(request.body), writer)
        elif request.path.startswith("/-/kv-handle/"):
            self.answer_query(writer, {})
        else:
            await super().handle_query(request, writer)

    def _move(self, content, writer):
        """Copy the memory of a run to another engine, under a new handle."""
        memory = self.memory_by_run.get(content["instance-id"])
        target = self.fleet.server_by_address.get(content["to"])
        if memory is None or target is None:
            writer.write(encode_head("HTTP/1.1 404 No", {"Content-Length": 0}))
            return
        self._n_handles += 1
        handle = f"{self.instance_id}-{self.born_ms}-{self._n_handles}"
        target.copy_by_id[handle] = memory
        self.answer_query(writer, {"request-handle": handle, "made": 0})

    async def run(self, request, request_id, writer):
        """Stream the events after `Last-Event-Id`, from a copy if one is named."""
        headers = request.header_by_name
        memory = request_id
        source = headers.get("kv-from")
        if source is not None:
            memory = self.copy_by_id.pop(source.partition("/")[2], None)
            if memory is None:
                self.fleet.record.add(f"{self} has no copy {source}")
                lines = {"X_Almonddeal_Not_Executed": "1", "Content_Length": 0}
                writer.write(self.head(request_id, "503 Service Unavailable", **lines))
                return
            self.fleet.record.add(f"{self}: {request_id} goes on from {memory}")
        self.begin(request_id)
        self.memory_by_run[request_id] = memory
        backup = self.fleet.server_by_address.get(headers.get("x-almonddeal-kv-backup"))
        if backup is not None:
            self.fleet.record.add(f"{self} copies {request_id} to {backup}")
            backup.copy_by_id[request_id] = memory
        try:
            await asyncio.sleep(0.05)
            writer.write(
                self.head(
                    request_id,
                    Content_Type="text/event-stream",
                    Transfer_Encoding="chunked",
                    X_Almonddeal_Weight_Versions="1",
                )
            )
            first = int(headers.get("last-event-id", 0)) + 1
            await self.write_events(request_id, memory, first, writer)
            self.write_chunk(writer, b"")
            await writer.drain()
            if backup is not None:
                backup.copy_by_id.pop(request_id, None)
        finally:
            del self.memory_by_run[request_id]
            if backup is not None:
                # After a loss, a copy stays for `handle-ttl-s`.
                asyncio.get_running_loop().call_later(
                    HANDLE_TTL_S, backup.copy_by_id.pop, request_id, None
                )

    async def write_events(self, request_id, memory, first, writer):
        """Write the events from a number on."""
        for number in range(first, self.n_events + 1):
            self.write_chunk(writer, self.event(number, memory))
            await writer.drain()
            await asyncio.sleep(PIECE_INTERVAL_S)

    def event(self, number, memory):
        """Return the bytes of an event."""
        return f"id: {number}\ndata: {self.version} {memory} {number}\n\n".encode()

    @staticmethod
    def write_chunk(writer, data):
        """Write one chunk; an empty one ends the body."""
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
