"""Soak test: random faults under random load, with every result checked.

A seed determines the choice of faults and load. The last line of output is
``soak: seed S, F faults, A answers, O orders, V violations``; the exit status is 1 if
V > 0.
"""

import random
import sys
import time
from collections import Counter

import anyio
import click
import httpx

from almonddeal_tools.caller import Answer, make_client, make_headers, stream_answer
from almonddeal_tools.documents import KEY_BY_CUSTOMER
from almonddeal_tools.fleet import Fleet
from almonddeal_tools.tcp_proxy import TcpProxies

N_CALLERS = 12
N_ORDER_SENDERS = 6
ANSWER_TIMEOUT_S = 60.0
# The longest answers take longer than any timeout of the HTTP server.
ANSWER_LENGTHS_TOKENS = (20, 20, 100, 100, 400, 400, 800, 800, 7000)
RETRY_DELAY_S = 0.2
FINAL_ERRORS = ("ANSWER_UNKNOWN", "ANSWER_EVICTED", "VERSION_GONE")


class Soak:
    """Runs callers, order senders, an operator and a fault injector concurrently.

    Parameters
    ----------
    fleet : Fleet
    proxies : TcpProxies
        Proxies between the processes, for network faults.
    seed : int
    seconds : float
        Time during which new work is started.
    """

    def __init__(self, fleet, proxies, seed, seconds):
        self._fleet = fleet
        self._proxies = proxies
        self._random = random.Random(seed)
        self._deadline_s = time.monotonic() + seconds
        self._n_order_keys = 0
        self._replies_by_key = {}
        self._n_transport_errors_by_key = Counter()
        self.n_faults = 0
        self.n_without_effect = 0
        self.n_answers = 0
        self.n_unfinished_answers = 0
        self.n_orders = 0
        self.n_lookups = 0
        self.n_changes = 0
        self.n_by_fault = Counter()
        self.n_by_error = Counter()
        self.violations = []

    @property
    def is_over(self):
        """Whether the time for starting new work has passed."""
        return time.monotonic() > self._deadline_s

    def record_violation(self, text):
        """Record and print a violated guarantee."""
        self.violations.append(text)
        click.echo(f"violation: {text}")

    async def run(self):
        """Run load and faults until the time is over, then check orders and logs."""
        async with make_client() as client, anyio.create_task_group() as group:
            for number in range(N_CALLERS):
                group.start_soon(self._request_answers, client, number)
            for number in range(N_ORDER_SENDERS):
                group.start_soon(self._send_orders, client, number)
            group.start_soon(self._send_lookups, client)
            group.start_soon(self._apply_changes)
            group.start_soon(self._inject_faults)
        await self._restore_processes()
        self._check_orders()
        self._check_logs()

    def _random_url(self):
        return self._random.choice(self._fleet.caller_urls)

    async def _request_answers(self, client, number):
        customer = self._random.choice(list(KEY_BY_CUSTOMER))
        key = KEY_BY_CUSTOMER[customer]
        while not self.is_over:
            n_tokens = self._random.choice(ANSWER_LENGTHS_TOKENS)
            prompt = f"prompt {self._random.random()}"
            answer = Answer(prompt, n_tokens)
            await self._read_to_end(client, key, answer)

    async def _read_to_end(self, client, key, answer):
        deadline = time.monotonic() + ANSWER_TIMEOUT_S
        while answer.finish_reason is None and time.monotonic() < deadline:
            try:
                async for _ in stream_answer(client, self._random_url(), key, answer):
                    if self._random.random() < 0.0005:
                        break
            except httpx.HTTPError:
                pass
            if answer.error is not None:
                self.n_by_error[answer.error["name"]] += 1
                if answer.error["name"] == "HOLDERS_UNREACHABLE":
                    self.n_by_error[answer.error["message"]] += 1
                if answer.error["name"] in FINAL_ERRORS:
                    break
            if answer.finish_reason is None:
                await anyio.sleep(RETRY_DELAY_S)
        self._check_answer(answer)

    def _check_answer(self, answer):
        for violation in answer.violations():
            self.record_violation(f"answer {answer.request_id}: {violation}")
        if answer.finish_reason is None:
            self.n_unfinished_answers += 1
            if answer.n_tokens:
                name = answer.error and answer.error["name"]
                self.n_by_error[f"lost after {name}"] += 1
        else:
            self.n_answers += 1

    async def _send_orders(self, client, number):
        while not self.is_over:
            self._n_order_keys += 1
            key = f"order-{self._n_order_keys}"
            self._replies_by_key[key] = []
            n_duplicates = self._random.choice((1, 1, 2))
            async with anyio.create_task_group() as group:
                for _ in range(n_duplicates):
                    group.start_soon(self._send_order, client, key)
            self.n_orders += 1
            await anyio.sleep(self._random.uniform(0.02, 0.2))

    async def _send_order(self, client, key):
        for _ in range(self._random.choice((1, 2, 4))):
            headers = make_headers(
                KEY_BY_CUSTOMER["tujenge"], **{"idempotency-key": key}
            )
            url = f"{self._random_url()}/services/badges/orders"
            try:
                response = await client.post(
                    url, content=key, headers=headers, timeout=15
                )
            except httpx.HTTPError:
                self._n_transport_errors_by_key[key] += 1
                continue
            try:
                body = response.json()
            except ValueError:
                self.record_violation(
                    f"{key}: response {response.status_code} without a JSON error"
                )
                continue
            self._replies_by_key[key].append((response.status_code, body))
            if response.status_code == 200:
                return
            error = body["error"]
            self.n_by_error[error["name"]] += 1
            await anyio.sleep(RETRY_DELAY_S)

    def _check_orders(self):
        n_executed_by_key = Counter(r["key"] for r in self._fleet.read_executions())
        for key, n_executed in n_executed_by_key.items():
            if n_executed > 1:
                self.record_violation(f"{key}: executed {n_executed} times")
        for key, replies in self._replies_by_key.items():
            self._check_replies(key, replies, n_executed_by_key[key])

    def _check_replies(self, key, replies, n_executed):
        bodies = {str(body) for status, body in replies if status == 200}
        if len(bodies) > 1:
            self.record_violation(f"{key}: replies differ")
        if bodies and n_executed != 1:
            self.record_violation(f"{key}: status 200, but executed {n_executed} times")
        is_refused_by_all = all(
            status != 200 and body["error"]["was_run"] == "no"
            for status, body in replies
        )
        if (
            is_refused_by_all
            and not self._n_transport_errors_by_key[key]
            and n_executed
        ):
            self.record_violation(f"{key}: refused as not run, but executed")

    async def _send_lookups(self, client):
        headers = make_headers(KEY_BY_CUSTOMER["keystone"])
        while not self.is_over:
            url = f"{self._random_url()}/services/badges/status/{self._random.random()}"
            try:
                await client.get(url, headers=headers, timeout=10)
                self.n_lookups += 1
            except httpx.HTTPError:
                pass
            await anyio.sleep(0.1)

    async def _apply_changes(self):
        """Drain and restore engines, so that document changes coincide with faults."""
        last_version = 0
        while not self.is_over:
            await anyio.sleep(self._random.uniform(2.0, 5.0))
            leaving_targets = self._random.choice(([], [], ["engine0"], ["engine1"]))
            document = {**self._fleet.document, "leaving": leaving_targets}
            entry = self._random.randrange(self._fleet.n_entries)
            version = await anyio.to_thread.run_sync(
                self._fleet.try_apply, document, entry
            )
            if version is not None:
                self.n_changes += 1
                if version <= last_version:
                    self.record_violation(
                        f"version {version} accepted after {last_version}"
                    )
                last_version = version

    async def _inject_faults(self):
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
                group.start_soon(self._inject, fault)

    async def _inject(self, fault):
        """Inject a fault and count it if it took effect."""
        name = fault.__name__.strip("_")
        if await fault():
            self.n_faults += 1
            self.n_by_fault[name] += 1
        else:
            self.n_without_effect += 1

    def _random_process(self):
        """Return a random process, an entry instance in at least a third of cases."""
        names = sorted(self._fleet.process_by_name)
        entries = [n for n in names if n.startswith("entry")]
        pool = entries if self._random.random() < 0.33 else names
        return self._fleet.process_by_name[self._random.choice(pool)]

    def _may_disrupt(self, process):
        """Return whether at most one entry instance is down if `process` is disrupted.

        The guarantees hold while a majority of the entry instances is running.
        """
        if not process.name.startswith("entry"):
            return True
        unavailable = [
            p
            for name, p in self._fleet.process_by_name.items()
            if name.startswith("entry") and (not p.is_running or p.is_paused)
        ]
        return not unavailable or process in unavailable

    async def _kill(self):
        process = self._random_process()
        if not process.is_running or not self._may_disrupt(process):
            return False
        process.kill()
        await anyio.sleep(self._random.choice((0.0, 0.5, 3.0)))
        if not process.is_running:
            process.start()
        return True

    async def _kill_twice(self):
        process = self._random_process()
        if not self._may_disrupt(process):
            return False
        for _ in range(2):
            if process.is_running:
                process.kill()
            process.start()
            await anyio.sleep(self._random.uniform(0.5, 2.0))
        return True

    async def _pause(self):
        process = self._random_process()
        if not process.is_running or not self._may_disrupt(process):
            return False
        process.pause()
        await anyio.sleep(self._random.choice((0.2, 1.0, 4.0)))
        process.resume()
        return True

    async def _post_fault(self, number, **fault):
        """Send a fault to an engine; return whether the engine accepted it."""
        url = f"{self._fleet.engine_urls[number]}/fault"
        try:
            async with httpx.AsyncClient(trust_env=False, timeout=2) as client:
                response = await client.post(url, json=fault)
        except httpx.HTTPError:
            return False
        return response.status_code == 200

    def _random_engine(self):
        return self._random.randrange(self._fleet.n_engines)

    async def _hang_stream(self):
        return await self._post_fault(
            self._random_engine(), kind="hang_stream", request=""
        )

    async def _hang_engine(self):
        return await self._enable_for_a_while("hang")

    async def _refuse(self):
        return await self._enable_for_a_while("refuse")

    async def _enable_for_a_while(self, kind):
        number = self._random_engine()
        is_enabled = await self._post_fault(number, kind=kind, on=True)
        await anyio.sleep(self._random.uniform(0.5, 4.0))
        await self._post_fault(number, kind=kind, on=False)
        return is_enabled

    async def _cut(self):
        return self._proxies.close_random_route(self._random)

    async def _black_hole(self):
        return await self._proxies.black_hole(
            self._random, self._random.choice((0.5, 2.0, 5.0))
        )

    async def _restore_processes(self):
        for process in self._fleet.process_by_name.values():
            process.resume()
            if not process.is_running:
                process.start()
        await anyio.sleep(1.0)

    def _check_logs(self):
        for name, process in self._fleet.process_by_name.items():
            text = process.read_log()
            for marker in ("AssertionError", "Traceback"):
                if marker in text:
                    self.record_violation(f"{marker} in the log of {name}")


@click.command()
@click.option("--seed", default=1)
@click.option("--seconds", default=60.0)
@click.option("--entries", default=3)
def main(seed, seconds, entries):
    """Run random faults against a fleet on loopback."""
    proxies = TcpProxies()
    with proxies, Fleet(entries, 4, 2, stop_timeout_s=2.0, proxies=proxies) as fleet:
        soak = Soak(fleet, proxies, seed, seconds)
        anyio.run(soak.run)
        if soak.violations:
            fleet.keep_logs()
    click.echo(
        f"faults: {dict(soak.n_by_fault)}, without effect: {soak.n_without_effect}"
    )
    click.echo(f"errors: {dict(soak.n_by_error)}")
    click.echo(
        f"lookups: {soak.n_lookups}, changes: {soak.n_changes}, "
        f"answers not finished in time: {soak.n_unfinished_answers}"
    )
    click.echo(
        f"soak: seed {seed}, {soak.n_faults} faults, {soak.n_answers} answers, "
        f"{soak.n_orders} orders, {len(soak.violations)} violations"
    )
    sys.exit(1 if soak.violations else 0)


if __name__ == "__main__":
    main()
