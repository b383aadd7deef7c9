"""An engine spoils the id of one event; the client has to get all the others."""

import asyncio
import os
from pathlib import Path

from standins.fleet import CouldNotRunError, main
from standins.servers import PIECE_INTERVAL_S, Engine, Server

CONTACT_S = 3.0
MAX_STREAMS = 300
STREAM_INTERVAL_S = 0.12
# Two of four engines spoil one answer each, the last of the first fifty that they send:
# a share of 0.5 and 0.02, as `garble` has.
N_ANSWERS = 50
# By engine: the number of the event with a wrong id, and how many sound events are
# written together with it.
SPOILED = {"i-e1": (10, 2), "i-e2": (2, 0)}
WRONG_ID = b"id: 70\n"
DEADLINE_MS = 25000
HEADERS = {
    "X-Almonddeal-Model": "m",
    "X-Almonddeal-Token-Usage": "300,360",
    "X-Almonddeal-Prefix-Hash": "5c1e07a2:200,91bd3f06:100",
}


class SpoilingEngine(Engine):
    """An engine that hands out wrong bytes in one of its answers.

    Attributes
    ----------
    spoiled : tuple or None
        What it is yet to spoil, as in `SPOILED`.
    """

    spoiled = None
    n_answers = 0
    n_events = 40

    async def write_events(self, request_id, memory, first, writer):
        """Write the events; in the spoiled answer the id of one has wrong bytes."""
        self.n_answers += 1
        if self.spoiled is None or self.n_answers < N_ANSWERS or first > 1:
            await super().write_events(request_id, memory, first, writer)
            return
        (number, n_together), self.spoiled = self.spoiled, None
        for before in range(first, number - n_together):
            self.write_chunk(writer, self.event(before, memory))
            await writer.drain()
            await asyncio.sleep(PIECE_INTERVAL_S)
        numbers = range(number - n_together, number + 1)
        data = b"".join(self.event(each, memory) for each in numbers)
        data = data.replace(b"id: %d\n" % number, WRONG_ID)
        self.fleet.record.add(
            f"{self}, answer {self.n_answers}, writes for {request_id}: {data!r}"
        )
        self.write_chunk(writer, data)
        await writer.drain()
        await asyncio.sleep(PIECE_INTERVAL_S)
        await super().write_events(request_id, memory, number + 1, writer)


def event_numbers(answer):
    """Return the number in the text of each event that a client received."""
    events = answer.body.split(b"\n\n")[:-1]
    return [int(event.rsplit(b" ", 1)[1]) for event in events]


async def play(fleet, has_trouble):
    """Return whether a stream ended as complete and lacks pieces, or has one twice."""
    host = fleet.server_host
    engines = []
    for number, zone in enumerate(("zone-a", "zone-b", "zone-c", "zone-a"), 1):
        engine = SpoilingEngine(fleet, f"i-e{number}", host(number), "pool", zone)
        if has_trouble:
            engine.spoiled = SPOILED.get(engine.instance_id)
        engines.append(await fleet.add(engine))
    await fleet.add(Server(fleet, "i-d1", host(5), "desk", "zone-a"))
    await fleet.publish()
    await fleet.wait_until_ready()
    await asyncio.sleep(CONTACT_S + 1.0)
    streams = []
    while len(streams) < MAX_STREAMS and min(e.n_answers for e in engines[:2]) <= (
        N_ANSWERS
    ):
        number = len(streams)
        streams.append(
            asyncio.create_task(
                fleet.request(
                    fleet.entries[number % len(fleet.entries)],
                    "POST",
                    f"/stream/{number}",
                    f"stream-{number}",
                    DEADLINE_MS,
                    b"prompt %d" % number,
                    HEADERS,
                )
            )
        )
        await asyncio.sleep(STREAM_INTERVAL_S)
    answers = await asyncio.gather(*streams)
    if any(engine.spoiled is not None for engine in engines):
        raise CouldNotRunError("an engine had too few answers to spoil one")
    wanted = list(range(1, SpoilingEngine.n_events + 1))
    is_broken = False
    for number, answer in enumerate(answers):
        received = event_numbers(answer)
        is_success = answer.status == 200 and answer.is_complete
        if is_success and received != wanted:
            missing = sorted(set(wanted) - set(received))
            fleet.record.conclude(
                f"stream-{number} ended as complete with {len(received)} of "
                f"{len(wanted)} pieces, without {missing[0]} to {missing[-1]}"
            )
            is_broken = True
    return is_broken


has_trouble = os.environ.get("TROUBLE", "1") != "0"
main(play, Path(__file__).parent, has_trouble)
