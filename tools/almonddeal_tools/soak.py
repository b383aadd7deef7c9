"""Random faults against answers, orders and lookups, with every result checked.

A seed decides the faults and the load. Ends with a line
``soak: seed S, F faults, A answers, O orders, V violations`` and exits 1 if V > 0.
"""

import random
import sys
import time
from collections import Counter

import anyio
import click
import httpx

from almonddeal_tools.caller import Answer, headers_of, make_client, stream_answer
from almonddeal_tools.documents import KEY_BY_CUSTOMER
from almonddeal_tools.fleet import Fleet
from almonddeal_tools.relay import Relays

N_CALLERS = 12
N_ORDERERS = 6
GIVE_UP_S = 60.0
# The last ones run for longer than any timeout of the HTTP server.
ANSWER_TOKENS = (20, 20, 100, 100, 400, 400, 800, 800, 7000)
RETRY_S = 0.2
KNOWN_ERRORS_ARE_FINAL = ("ANSWER_UNKNOWN", "ANSWER_EVICTED", "VERSION_GONE")


class Soak:
    """One run: callers, orderers, an operator and a source of faults.

    Parameters
    ----------
    fleet : Fleet
    relays : Relays
        Between the processes; they cut and delay connections.
    seed : int
    seconds : float
    """

    def __init__(self, fleet, relays, seed, seconds):
        self._fleet = fleet
        self._relays = relays
        self._random = random.Random(seed)
        self._until = time.monotonic() + seconds
        self._next_order = 0
        self._replies_by_key = {}
        self._n_unclear_by_key = Counter()
        self.n_faults = 0
        self.n_answers = 0
        self.n_lost_answers = 0
        self.n_orders = 0
        self.n_lookups = 0
        self.n_changes = 0
        self.n_by_fault = Counter()
        self.n_by_error = Counter()
        self.violations = []

    @property
    def is_over(self):
        """Whether no new work begins."""
        return time.monotonic() > self._until

    def violate(self, text):
        """Note a broken promise."""
        self.violations.append(text)
        click.echo(f"violation: {text}")

    async def run(self):
        """Run until the time is over, then check the records."""
        async with make_client() as client, anyio.create_task_group() as group:
            for number in range(N_CALLERS):
                group.start_soon(self._call_for_ever, client, number)
            for number in range(N_ORDERERS):
                group.start_soon(self._order_for_ever, client, number)
            group.start_soon(self._look_up_for_ever, client)
            group.start_soon(self._change_for_ever)
            group.start_soon(self._break_for_ever)
        await self._heal()
        self._check_orders()
        self._check_logs()

    def _any_url(self):
        return self._random.choice(self._fleet.caller_urls)

    # ---- answers ---------------------------------------------------------------

    async def _call_for_ever(self, client, number):
        customer = self._random.choice(list(KEY_BY_CUSTOMER))
        key = KEY_BY_CUSTOMER[customer]
        while not self.is_over:
            n_tokens = self._random.choice(ANSWER_TOKENS)
            prompt = f"prompt {self._random.random()}"
            answer = Answer(prompt, n_tokens)
            await self._read_whole(client, key, answer)

    async def _read_whole(self, client, key, answer):
        deadline = time.monotonic() + GIVE_UP_S
        while answer.finish_reason is None and time.monotonic() < deadline:
            try:
                async for _ in stream_answer(client, self._any_url(), key, answer):
                    if self._random.random() < 0.0005:
                        break
            except httpx.HTTPError:
                pass
            if answer.error is not None:
                self.n_by_error[answer.error["name"]] += 1
                if answer.error["name"] == "HOLDERS_UNREACHABLE":
                    self.n_by_error[answer.error["message"]] += 1
                if answer.error["name"] in KNOWN_ERRORS_ARE_FINAL:
                    break
            if answer.finish_reason is None:
                await anyio.sleep(RETRY_S)
        self._check_answer(answer)

    def _check_answer(self, answer):
        for violation in answer.violations():
            self.violate(f"answer {answer.request_id}: {violation}")
        if answer.finish_reason is None:
            self.n_lost_answers += 1
            if answer.n_tokens:
                name = answer.error and answer.error["name"]
                self.n_by_error[f"lost after {name}"] += 1
        else:
            self.n_answers += 1

    # ---- orders ----------------------------------------------------------------

    async def _order_for_ever(self, client, number):
        while not self.is_over:
            self._next_order += 1
            key = f"order-{self._next_order}"
            self._replies_by_key[key] = []
            n_senders = self._random.choice((1, 1, 2))
            async with anyio.create_task_group() as group:
                for _ in range(n_senders):
                    group.start_soon(self._send_order, client, key)
            self.n_orders += 1
            await anyio.sleep(self._random.uniform(0.02, 0.2))

    async def _send_order(self, client, key):
        for _ in range(self._random.choice((1, 2, 4))):
            headers = headers_of(KEY_BY_CUSTOMER["tujenge"], **{"idempotency-key": key})
            url = f"{self._any_url()}/services/badges/orders"
            try:
                response = await client.post(
                    url, content=key, headers=headers, timeout=15
                )
            except httpx.HTTPError:
                self._n_unclear_by_key[key] += 1
                continue
            try:
                body = response.json()
            except ValueError:
                self.violate(f"{key} was answered {response.status_code} without code")
                continue
            self._replies_by_key[key].append((response.status_code, body))
            if response.status_code == 200:
                return
            error = body["error"]
            self.n_by_error[error["name"]] += 1
            await anyio.sleep(RETRY_S)

    def _check_orders(self):
        executed = Counter(r["key"] for r in self._fleet.executions())
        for key, n_executed in executed.items():
            if n_executed > 1:
                self.violate(f"{key} ran {n_executed} times")
        for key, replies in self._replies_by_key.items():
            self._check_replies(key, replies, executed[key])

    def _check_replies(self, key, replies, n_executed):
        bodies = {str(body) for status, body in replies if status == 200}
        if len(bodies) > 1:
            self.violate(f"{key} got different replies")
        if bodies and n_executed != 1:
            self.violate(f"{key} was answered and ran {n_executed} times")
        all_refused = all(
            status != 200 and body["error"]["was_run"] == "no"
            for status, body in replies
        )
        if all_refused and not self._n_unclear_by_key[key] and n_executed:
            self.violate(f"{key} was refused as not run and ran")

    # ---- lookups and changes ---------------------------------------------------

    async def _look_up_for_ever(self, client):
        headers = headers_of(KEY_BY_CUSTOMER["keystone"])
        while not self.is_over:
            url = f"{self._any_url()}/services/badges/status/{self._random.random()}"
            try:
                await client.get(url, headers=headers, timeout=10)
                self.n_lookups += 1
            except httpx.HTTPError:
                pass
            await anyio.sleep(0.1)

    async def _change_for_ever(self):
        """Drain engines and take them back, so that planned changes meet faults."""
        highest = 0
        while not self.is_over:
            await anyio.sleep(self._random.uniform(2.0, 5.0))
            leaving = self._random.choice(([], [], ["engine0"], ["engine1"]))
            document = {**self._fleet.document, "leaving": leaving}
            entry = self._random.randrange(self._fleet.n_entries)
            version = await anyio.to_thread.run_sync(
                self._fleet.try_apply, document, entry
            )
            if version is not None:
                self.n_changes += 1
                if version <= highest:
                    self.violate(f"version {version} accepted after {highest}")
                highest = version

    # ---- faults ----------------------------------------------------------------

    async def _break_for_ever(self):
        async with anyio.create_task_group() as group:
            while not self.is_over:
                await anyio.sleep(self._random.uniform(0.1, 0.7))
                fault = self._random.choice(
                    (
                        self._kill,
                        self._kill,
                        self._kill_twice,
                        self._pause,
                        self._hang_stream,
                        self._hang_engine,
                        self._refuse,
                        self._cut,
                        self._black_hole,
                    )
                )
                self.n_faults += 1
                self.n_by_fault[fault.__name__.strip("_")] += 1
                group.start_soon(fault)

    def _any_process(self):
        """Return a process of any part, the entry instances a third of the time."""
        names = sorted(self._fleet.process_by_name)
        entries = [n for n in names if n.startswith("entry")]
        pool = entries if self._random.random() < 0.33 else names
        return self._fleet.process_by_name[self._random.choice(pool)]

    def _is_disruptable(self, process):
        """Keep a majority of the entry instances running, as the brief's fleets do."""
        if not process.name.startswith("entry"):
            return True
        down = [
            p
            for name, p in self._fleet.process_by_name.items()
            if name.startswith("entry") and (not p.is_running or p.is_paused)
        ]
        return not down or process in down

    async def _kill(self):
        process = self._any_process()
        if not process.is_running or not self._is_disruptable(process):
            return
        process.kill()
        await anyio.sleep(self._random.choice((0.0, 0.5, 3.0)))
        if not process.is_running:
            process.start()

    async def _kill_twice(self):
        process = self._any_process()
        if not self._is_disruptable(process):
            return
        for _ in range(2):
            if process.is_running:
                process.kill()
            process.start()
            await anyio.sleep(self._random.uniform(0.5, 2.0))

    async def _pause(self):
        process = self._any_process()
        if not process.is_running or not self._is_disruptable(process):
            return
        process.pause()
        await anyio.sleep(self._random.choice((0.2, 1.0, 4.0)))
        process.resume()

    async def _at_engine(self, **fault):
        number = self._random.randrange(self._fleet.n_engines)
        url = f"{self._fleet.engine_urls[number]}/fault"
        try:
            async with httpx.AsyncClient(trust_env=False, timeout=1) as client:
                await client.post(url, json=fault)
        except httpx.HTTPError:
            return number
        return number

    async def _hang_stream(self):
        await self._at_engine(kind="hang_stream", request="")

    async def _hang_engine(self):
        await self._toggle("hang")

    async def _refuse(self):
        await self._toggle("refuse")

    async def _toggle(self, kind):
        number = await self._at_engine(kind=kind, on=True)
        await anyio.sleep(self._random.uniform(0.5, 4.0))
        url = f"{self._fleet.engine_urls[number]}/fault"
        try:
            async with httpx.AsyncClient(trust_env=False, timeout=2) as client:
                await client.post(url, json={"kind": kind, "on": False})
        except httpx.HTTPError:
            return

    async def _cut(self):
        self._relays.cut(self._random)

    async def _black_hole(self):
        await self._relays.black_hole(
            self._random, self._random.choice((0.5, 2.0, 5.0))
        )

    async def _heal(self):
        for process in self._fleet.process_by_name.values():
            process.resume()
            if not process.is_running:
                process.start()
        await anyio.sleep(1.0)

    def _check_logs(self):
        for name, process in self._fleet.process_by_name.items():
            text = process.log_text()
            for mark in ("AssertionError", "Traceback"):
                if mark in text:
                    self.violate(f"{mark} in the log of {name}")


@click.command()
@click.option("--seed", default=1)
@click.option("--seconds", default=60.0)
@click.option("--entries", default=3)
def main(seed, seconds, entries):
    """Run random faults against a fleet on loopback."""
    relays = Relays()
    with relays, Fleet(entries, 4, 2, stop_timeout_s=2.0, relays=relays) as fleet:
        soak = Soak(fleet, relays, seed, seconds)
        anyio.run(soak.run)
        if soak.violations:
            fleet.keep_logs()
    click.echo(f"faults: {dict(soak.n_by_fault)}")
    click.echo(f"errors: {dict(soak.n_by_error)}")
    click.echo(
        f"lookups: {soak.n_lookups}, changes: {soak.n_changes}, "
        f"answers not finished in time: {soak.n_lost_answers}"
    )
    click.echo(
        f"soak: seed {seed}, {soak.n_faults} faults, {soak.n_answers} answers, "
        f"{soak.n_orders} orders, {len(soak.violations)} violations"
    )
    sys.exit(1 if soak.violations else 0)


if __name__ == "__main__":
    main()
