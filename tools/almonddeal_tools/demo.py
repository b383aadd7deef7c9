"""The demonstration: answers and orders that outlive what serves them.

Starts a fleet on loopback, breaks parts of it, and checks the results against the
records of the stand-ins.
"""

import os
import signal
import sys

import anyio
import click
import httpx

from almonddeal_tools.caller import Answer, headers_of, make_client, stream_answer
from almonddeal_tools.chain import n_attempts
from almonddeal_tools.documents import KEY_BY_CUSTOMER
from almonddeal_tools.fleet import Fleet

KEY = KEY_BY_CUSTOMER["tujenge"]
LONG = 600
N_STREAMS = 24


class Demo:
    """Runs the checks one after the other and counts them."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.n_held = 0
        self.n_failed = 0

    def check(self, text, held):
        """Print one check and count it."""
        self.n_held += bool(held)
        self.n_failed += not held
        click.echo(f"{'held  ' if held else 'FAILED'} {text}")

    async def run(self):
        """Run all checks."""
        async with make_client() as client:
            await self._engine_dies(client)
            await self._entry_dies(client)
            await self._order_twice(client)
            await self._drain_under_load(client)
        self._stop_gently()

    # ---- an engine dies --------------------------------------------------------

    async def _engine_dies(self, client):
        answer = Answer("list of attendees", LONG)
        url = self._fleet.caller_urls[0]
        killed = None
        async for _ in stream_answer(client, url, KEY, answer):
            if answer.n_tokens == 100 and killed is None:
                killed = self._fleet.engine_of(answer.request_id)
                self._fleet.process_by_name[f"engine{killed}"].kill()
        self.check("an answer whose engine was killed is whole", answer.is_whole)
        n_made = n_attempts(answer.tokens)
        self.check("its text comes from two engines, joined", n_made == 2)
        self._fleet.process_by_name[f"engine{killed}"].start()
        self._fleet.wait_until(self._fleet.all_ready, "fleet after the kill")

    # ---- an entry instance dies ------------------------------------------------

    async def _entry_dies(self, client):
        answer = Answer("history of promotions", LONG)
        n_seen = 0
        try:
            async for _ in stream_answer(
                client, self._fleet.caller_urls[1], KEY, answer
            ):
                if answer.n_tokens == 100:
                    n_seen = answer.n_tokens
                    self._fleet.process_by_name["entry1"].kill()
        except httpx.HTTPError:
            pass
        self.check("killing an entry instance cuts its stream", n_seen == 100)
        url = self._fleet.caller_urls[2]
        with anyio.fail_after(30):
            while answer.finish_reason is None:
                async for _ in stream_answer(client, url, KEY, answer):
                    pass
        self.check("the caller got the rest at another one", answer.is_whole)
        self._fleet.process_by_name["entry1"].start()
        self._fleet.wait_until(self._fleet.all_ready, "fleet after the kill")

    # ---- one order, twice at once ----------------------------------------------

    async def _order_twice(self, client):
        replies = []

        async def order(url):
            response = await client.post(
                f"{url}/services/badges/orders",
                content=b"print 40 badges",
                headers=headers_of(KEY, **{"idempotency-key": "order-1"}),
            )
            replies.append((response.status_code, response.text))

        async with anyio.create_task_group() as group:
            for url in self._fleet.caller_urls[:2]:
                group.start_soon(order, url)
        executed = [r for r in self._fleet.executions() if r["key"] == "order-1"]
        self.check("an order sent twice at once ran once", len(executed) == 1)
        same = replies[0] == replies[1] and replies[0][0] == 200
        self.check("both callers got its one reply", same)
        status, body = await self._reuse_key(client)
        self.check("the key with another body is refused", status == 422)
        self.check("and the refusal says it was not run", body["was_run"] == "no")
        n_executed = len(self._fleet.executions())
        self.check("and the service saw nothing of it", n_executed == len(executed))

    async def _reuse_key(self, client):
        response = await client.post(
            f"{self._fleet.caller_urls[2]}/services/badges/orders",
            content=b"print 41 badges",
            headers=headers_of(KEY, **{"idempotency-key": "order-1"}),
        )
        return response.status_code, response.json()["error"]

    # ---- a drain under load ----------------------------------------------------

    async def _drain_under_load(self, client):
        answers = [Answer(f"letter {n}", LONG) for n in range(N_STREAMS)]
        late = [Answer(f"late letter {n}", 50) for n in range(N_STREAMS)]

        async def read(number, answer):
            url = self._fleet.caller_urls[number % 3]
            async for _ in stream_answer(client, url, KEY, answer):
                pass

        async with anyio.create_task_group() as group:
            for number, answer in enumerate(answers):
                group.start_soon(read, number, answer)
            await anyio.sleep(1.0)
            status, _ = await anyio.to_thread.run_sync(
                self._fleet.command, "drain", "engine0"
            )
            self.check("a drain is in force everywhere", status == 0)
            n_before = self._n_attempts_at(0)
            for number, answer in enumerate(late):
                group.start_soon(read, number, answer)
        n_whole = sum(answer.is_whole for answer in answers + late)
        self.check("the drain cut no answer", n_whole == 2 * N_STREAMS)
        n_after = self._n_attempts_at(0)
        self.check("the drained engine got nothing new", n_after == n_before)
        self.check("it had work when the drain began", n_before > 0)

    def _n_attempts_at(self, engine):
        return sum(r["engine"] == engine for r in self._fleet.engine_records())

    # ---- the end ---------------------------------------------------------------

    def _stop_gently(self):
        names = [n for n in self._fleet.process_by_name if n.startswith(("e", "a"))]
        product = [n for n in names if not n.startswith("engine")]
        for name in product:
            self._fleet.process_by_name[name].signal(signal.SIGTERM)
        statuses = [self._fleet.process_by_name[n].wait(20) for n in product]
        clean = all(status == 0 for status in statuses)
        self.check("all processes stop cleanly when told", clean)


@click.command()
def main():
    """Run the demonstration."""
    with Fleet(stop_timeout_s=5.0) as fleet:
        folder = fleet.folder
        pids = [process.pid for process in fleet.process_by_name.values()]
        demo = Demo(fleet)
        anyio.run(demo.run)
    demo.check("no file is left", not folder.exists())
    demo.check("no process is left", not any(_exists(pid) for pid in pids))
    click.echo(f"demo: {demo.n_held} checks held, {demo.n_failed} failed")
    sys.exit(1 if demo.n_failed else 0)


def _exists(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


if __name__ == "__main__":
    main()
