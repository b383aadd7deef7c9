"""An entry instance gets SIGTERM, then SIGHUP as its settings file changes.

The case shows whether the requests that it has read are still answered.
"""

import asyncio
import os
import signal
from pathlib import Path

from standins.fleet import main
from standins.servers import Engine, Server

CONTACT_S = 3.0
N_STREAMS = 6
STREAM_INTERVAL_S = 0.15
STREAM_DEADLINE_MS = 25000
N_ORDERS = 6
ORDER_DEADLINE_MS = 1000
SIGHUP_DELAY_S = 1.0  # after SIGTERM; the grace period is 8 s
HEADERS = {
    "X-Almonddeal-Model": "m",
    "X-Almonddeal-Token-Usage": "300,720",
    "X-Almonddeal-Prefix-Hash": "5c1e07a2:200,91bd3f06:100",
}


class LongEngine(Engine):
    """An engine of streams of four seconds."""

    n_events = 130


class Desk(Server):
    """A plain service; an order takes 0.3 s."""

    async def run(self, request, request_id, writer):
        """Run one request after a while."""
        self.begin(request_id)
        await asyncio.sleep(0.3)
        body = f"{self.instance_id} {request_id}".encode()
        writer.write(self.head(request_id, Content_Length=len(body)) + body)
        await writer.drain()


async def play(fleet, has_trouble):
    """Return whether requests were cut off by a planned stop."""
    host = fleet.server_host
    for number, zone in enumerate(("zone-a", "zone-b", "zone-c"), 1):
        await fleet.add(LongEngine(fleet, f"i-e{number}", host(number), "pool", zone))
    desks = [
        await fleet.add(Desk(fleet, f"i-d{number}", host(number + 3), "desk", zone))
        for number, zone in enumerate(("zone-a", "zone-b"), 1)
    ]
    await fleet.publish()
    await fleet.wait_until_ready()
    await asyncio.sleep(CONTACT_S + 1.0)
    entry = fleet.entries[0]

    def send(path, request_id, deadline_ms, headers=()):
        return asyncio.create_task(
            fleet.request(
                entry, "POST", path, request_id, deadline_ms, b"body", headers
            )
        )

    streams = []
    for number in range(N_STREAMS):
        request_id = f"stream-{number}"
        streams.append(
            send(f"/stream/{number}", request_id, STREAM_DEADLINE_MS, HEADERS)
        )
        await asyncio.sleep(STREAM_INTERVAL_S)
    await asyncio.sleep(0.5)
    entry.signal(signal.SIGTERM)
    await asyncio.sleep(SIGHUP_DELAY_S - 0.1)
    orders = [
        send(f"/order/{number}", f"order-{number}", ORDER_DEADLINE_MS)
        for number in range(N_ORDERS)
    ]
    await asyncio.sleep(0.1)
    if has_trouble:
        entry.change_settings()
        entry.signal(signal.SIGHUP)
    answers = await asyncio.gather(*streams)
    order_answers = await asyncio.gather(*orders)
    started = set().union(*(desk.started for desk in desks))
    n_cut = sum(not answer.is_complete for answer in answers)
    n_lost = sum(
        not answer.is_complete and f"order-{number}" in started
        for number, answer in enumerate(order_answers)
    )
    fleet.record.conclude(
        f"{n_cut} of {N_STREAMS} streams were cut off by the planned stop, and "
        f"{n_lost} of {N_ORDERS} orders that a server ran got no answer"
    )
    return bool(n_cut or n_lost)


has_trouble = os.environ.get("TROUBLE", "1") != "0"
main(play, Path(__file__).parent, has_trouble)
