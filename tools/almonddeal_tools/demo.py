"""Demonstration of answers and orders that survive the failure of processes.

Starts a fleet on loopback, injects faults, and checks the results against the records
of the stand-ins.
"""

import os
import signal
import sys

import anyio
import click
import httpx

from almonddeal_tools.caller import Answer, make_client, make_headers, stream_answer
from almonddeal_tools.chain import count_attempts
from almonddeal_tools.documents import KEY_BY_CUSTOMER
from almonddeal_tools.fleet import Fleet

KEY = KEY_BY_CUSTOMER["tujenge"]
N_TOKENS = 600
N_STREAMS = 24


class Demo:
    """Runs the checks in sequence and counts them.

    Parameters
    ----------
    fleet : Fleet
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self.n_passed = 0
        self.n_failed = 0

    def check(self, text, passed):
        """Print and count the result of one check."""
        self.n_passed += bool(passed)
        self.n_failed += not passed
        click.echo(f"{'held  ' if passed else 'FAILED'} {text}")

    async def run(self):
        """Run all checks."""
        async with make_client() as client:
            await self._check_engine_kill(client)
            await self._check_entry_kill(client)
            await self._check_duplicate_order(client)
            await self._check_drain(client)
        self._check_shutdown()

    async def _check_engine_kill(self, client):
        answer = Answer("list of attendees", N_TOKENS)
        url = self._fleet.caller_urls[0]
        engine = None
        async for _ in stream_answer(client, url, KEY, answer):
            if answer.n_tokens == 100 and engine is None:
                engine = self._fleet.find_engine(answer.request_id)
                self._fleet.process_by_name[f"engine{engine}"].kill()
        self.check("an answer whose engine was killed is complete", answer.is_complete)
        n_attempts = count_attempts(answer.tokens)
        self.check("its text comes from two attempts", n_attempts == 2)
        self._fleet.process_by_name[f"engine{engine}"].start()
        self._fleet.wait_until(self._fleet.all_ready, "fleet after the kill")

    async def _check_entry_kill(self, client):
        answer = Answer("history of promotions", N_TOKENS)
        n_tokens_at_kill = 0
        try:
            async for _ in stream_answer(
                client, self._fleet.caller_urls[1], KEY, answer
            ):
                if answer.n_tokens == 100:
                    n_tokens_at_kill = answer.n_tokens
                    self._fleet.process_by_name["entry1"].kill()
        except httpx.HTTPError:
            pass
        self.check(
            "killing an entry instance closes its stream", n_tokens_at_kill == 100
        )
        url = self._fleet.caller_urls[2]
        with anyio.fail_after(30):
            while answer.finish_reason is None:
                async for _ in stream_answer(client, url, KEY, answer):
                    pass
        self.check(
            "the caller got the rest from another entry instance", answer.is_complete
        )
        self._fleet.process_by_name["entry1"].start()
        self._fleet.wait_until(self._fleet.all_ready, "fleet after the kill")

    async def _check_duplicate_order(self, client):
        replies = []

        async def order(url):
            response = await client.post(
                f"{url}/services/badges/orders",
                content=b"print 40 badges",
                headers=make_headers(KEY, **{"idempotency-key": "order-1"}),
            )
            replies.append((response.status_code, response.text))

        async with anyio.create_task_group() as group:
            for url in self._fleet.caller_urls[:2]:
                group.start_soon(order, url)
        executed = [r for r in self._fleet.read_executions() if r["key"] == "order-1"]
        self.check("an order sent twice at once ran once", len(executed) == 1)
        same = replies[0] == replies[1] and replies[0][0] == 200
        self.check("both callers got the same reply", same)
        status, body = await self._reuse_idempotency_key(client)
        self.check("the key with another body is refused", status == 422)
        self.check("the error says that it was not run", body["was_run"] == "no")
        n_executed = len(self._fleet.read_executions())
        self.check("the service did not execute it", n_executed == len(executed))

    async def _reuse_idempotency_key(self, client):
        response = await client.post(
            f"{self._fleet.caller_urls[2]}/services/badges/orders",
            content=b"print 41 badges",
            headers=make_headers(KEY, **{"idempotency-key": "order-1"}),
        )
        return response.status_code, response.json()["error"]

    async def _check_drain(self, client):
        answers = [Answer(f"letter {n}", N_TOKENS) for n in range(N_STREAMS)]
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
                self._fleet.run_cli, "drain", "engine0"
            )
            self.check("a drain is in force everywhere", status == 0)
            n_before = self._count_attempts_at(0)
            for number, answer in enumerate(late):
                group.start_soon(read, number, answer)
        n_whole = sum(answer.is_complete for answer in answers + late)
        self.check("the drain interrupted no answer", n_whole == 2 * N_STREAMS)
        n_after = self._count_attempts_at(0)
        self.check("the drained engine got no new attempts", n_after == n_before)
        self.check("the drained engine had attempts before the drain", n_before > 0)

    def _count_attempts_at(self, engine):
        return sum(r["engine"] == engine for r in self._fleet.fetch_engine_records())

    def _check_shutdown(self):
        names = [n for n in self._fleet.process_by_name if n.startswith(("e", "a"))]
        product = [n for n in names if not n.startswith("engine")]
        for name in product:
            self._fleet.process_by_name[name].send_signal(signal.SIGTERM)
        statuses = [self._fleet.process_by_name[n].wait(20) for n in product]
        clean = all(status == 0 for status in statuses)
        self.check("all processes exit with status 0 on SIGTERM", clean)


@click.command()
def main():
    """Run the demonstration."""
    with Fleet(stop_timeout_s=5.0) as fleet:
        folder = fleet.folder
        pids = [process.pid for process in fleet.process_by_name.values()]
        demo = Demo(fleet)
        anyio.run(demo.run)
    demo.check("the folder of the fleet is deleted", not folder.exists())
    demo.check(
        "no process is left running", not any(_process_exists(pid) for pid in pids)
    )
    click.echo(f"demo: {demo.n_passed} checks held, {demo.n_failed} failed")
    sys.exit(1 if demo.n_failed else 0)


def _process_exists(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


if __name__ == "__main__":
    main()
