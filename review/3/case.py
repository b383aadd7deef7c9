"""Two clients send equal prompts, and one loses its entry instance.

Does its stream go on from its own memory at an engine, or from that of the other?
"""

import asyncio
import os
import signal
from pathlib import Path

from standins.fleet import main
from standins.servers import Engine, Server

CONTACT_S = 3.0
DEADLINE_MS = 25000
MIN_EVENTS = 12  # before the entry instance is killed
RETRY_S = 0.1
HEADERS = {
    "X-Almonddeal-Model": "m",
    "X-Almonddeal-Token-Usage": "300,720",
    "X-Almonddeal-Prefix-Hash": "5c1e07a2:200,91bd3f06:100",
}


class LongEngine(Engine):
    """An engine of long streams; lists the copies from which requests go on."""

    n_events = 120

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.resumed = []

    async def run(self, request, request_id, writer):
        """Record the request and the copy that it names."""
        source = request.header_by_name.get("kv-from")
        if source is not None:
            memory = self.copy_by_id.get(source.partition("/")[2])
            self.resumed.append((request_id, memory))
        await super().run(request, request_id, writer)


def events(answer):
    """Return the whole events that a client received."""
    return answer.body.split(b"\n\n")[:-1]


async def play(fleet, has_trouble):
    """Return whether a request went on from the memory of another one."""
    host = fleet.server_host
    engines = [
        await fleet.add(LongEngine(fleet, f"i-e{number}", host(number), "pool", zone))
        for number, zone in enumerate(("zone-a", "zone-b", "zone-c"), 1)
    ]
    await fleet.add(Server(fleet, "i-d1", host(4), "desk", "zone-a"))
    await fleet.publish()
    await fleet.wait_until_ready()
    await asyncio.sleep(CONTACT_S + 1.0)
    lost_entry, kept_entry, *_ = fleet.entries
    has_received = asyncio.Event()

    def count(answer):
        if len(events(answer)) >= MIN_EVENTS:
            has_received.set()

    def send(entry, request_id, headers=HEADERS, **options):
        return asyncio.create_task(
            fleet.request(
                entry,
                "POST",
                "/stream/summary",
                request_id,
                DEADLINE_MS,
                b"the same prompt",
                headers,
                **options,
            )
        )

    other = send(kept_entry, "other-1")
    await asyncio.sleep(0.3)
    first = send(lost_entry, "own-1", on_data=count)
    await has_received.wait()
    if has_trouble:
        lost_entry.signal(signal.SIGKILL)
        first_answer = await first
        await asyncio.sleep(RETRY_S)
        last_id = len(events(first_answer))
        resume = {**HEADERS, "Last-Event-Id": last_id, "Resumes": "own-1"}
        second_answer = await send(kept_entry, "own-2", resume)
    else:
        first_answer = second_answer = await first
    await other
    texts = [e.split(b"data: ")[1] for e in events(first_answer)]
    if second_answer is not first_answer:
        texts += [e.split(b"data: ")[1] for e in events(second_answer)]
    memories = [text.split()[1].decode() for text in texts]
    fleet.record.conclude(
        f"the client got {len(memories)} pieces, from the memory of "
        f"{' and '.join(dict.fromkeys(memories))}"
    )
    is_broken = False
    for request_id, memory in [pair for e in engines for pair in e.resumed]:
        if memory is not None and memory.split("-")[0] != request_id.split("-")[0]:
            fleet.record.conclude(f"{request_id} went on from the memory of {memory}")
            is_broken = True
    return is_broken


has_trouble = os.environ.get("TROUBLE", "1") != "0"
main(play, Path(__file__).parent, has_trouble)
