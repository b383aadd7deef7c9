import threading
import time

import anyio
import httpx
from behave import then, when

from almonddeal_tools.caller import Answer, make_client, make_headers, stream_answer
from almonddeal_tools.chain import count_attempts
from almonddeal_tools.documents import KEY_BY_CUSTOMER

KEY = KEY_BY_CUSTOMER["tujenge"]
OTHER_KEY = KEY_BY_CUSTOMER["keystone"]
WAIT_S = 30.0


class Reading(threading.Thread):
    """A caller that reads one answer on a thread of its own."""

    def __init__(self, url, answer, timeout_ms=None):
        super().__init__(daemon=True)
        self.answer = answer
        self._url = url
        self._timeout_ms = timeout_ms
        self._leave = False

    def run(self):
        anyio.run(self._read)

    async def _read(self):
        async with anyio.create_task_group() as group:
            group.start_soon(self._cancel_when_left, group.cancel_scope)
            await self._read_to_end()
            group.cancel_scope.cancel()

    async def _cancel_when_left(self, scope):
        # Events that a paused instance sends later are not the caller's any more.
        while not self._leave:
            await anyio.sleep(0.005)
        scope.cancel()

    async def _read_to_end(self):
        async with make_client() as client:
            if self._timeout_ms is not None:
                client.headers["x-timeout-ms"] = str(self._timeout_ms)
            try:
                async for _ in stream_answer(client, self._url, KEY, self.answer):
                    pass
            except httpx.HTTPError as error:
                self.answer.cut = repr(error)

    def leave(self):
        self._leave = True

    def wait_token(self, number):
        deadline = time.monotonic() + WAIT_S
        while self.answer.n_tokens < number:
            assert self.is_alive() and time.monotonic() < deadline, self.answer.error
            time.sleep(0.005)


def start_reading(context, url, n_tokens, timeout_ms=None):
    answer = Answer(f"prompt {len(context.answers)} of {time.time()}", n_tokens)
    reading = Reading(url, answer, timeout_ms)
    reading.start()
    context.answers.append(answer)
    context.reading = reading
    return reading


def finish_reading(context, reading):
    """Read on, returning at any entry instance, until the answer has its end."""
    reading.join(WAIT_S)
    deadline = time.monotonic() + WAIT_S
    number = 0
    while reading.answer.finish_reason is None and time.monotonic() < deadline:
        again = Reading(context.fleet.caller_urls[number % 3], reading.answer)
        again.start()
        again.join(WAIT_S)
        number += 1
        time.sleep(0.1)


@when("a caller asks for an answer of {n_tokens:d} tokens at entry {number:d}")
def ask(context, n_tokens, number):
    start_reading(context, context.fleet.caller_urls[number], n_tokens)


@when(
    "a caller asks for an answer of {n_tokens:d} tokens at entry {number:d}"
    " within {timeout_ms:d} ms"
)
def ask_within(context, n_tokens, number, timeout_ms):
    url = context.fleet.caller_urls[number]
    start_reading(context, url, n_tokens, timeout_ms).join(WAIT_S)


@when("the engine of the answer is killed at token {token:d}")
def kill_engine(context, token):
    context.reading.wait_token(token)
    number = context.fleet.find_engine(context.reading.answer.request_id)
    context.fleet.process_by_name[f"engine{number}"].kill()


@when("the stream of the answer hangs at token {token:d}")
def hang_stream(context, token):
    context.reading.wait_token(token)
    answer = context.reading.answer
    number = context.fleet.find_engine(answer.request_id)
    context.fleet.inject_fault(number, kind="hang_stream", request=answer.request_id)


@when("the agent of the answer is paused at token {token:d}")
def pause_agent(context, token):
    context.reading.wait_token(token)
    number = context.fleet.find_engine(context.reading.answer.request_id)
    context.fleet.process_by_name[f"agent{number}"].pause()


@when("entry {number:d} is killed at token {token:d}")
def kill_entry(context, number, token):
    context.reading.wait_token(token)
    context.fleet.process_by_name[f"entry{number}"].kill()
    context.reading.join(WAIT_S)


@when("entry {number:d} is paused at token {token:d}")
def pause_entry_at(context, number, token):
    context.reading.wait_token(token)
    context.fleet.process_by_name[f"entry{number}"].pause()


@when("the caller returns at entry {number:d}")
def return_at(context, number):
    deadline = time.monotonic() + WAIT_S
    answer = context.reading.answer
    context.reading.leave()
    context.reading.join(WAIT_S)
    while answer.finish_reason is None and time.monotonic() < deadline:
        again = Reading(context.fleet.caller_urls[number], answer)
        again.start()
        again.join(WAIT_S)


@when("the answer is cancelled at entry {number:d} at token {token:d}")
def cancel(context, number, token):
    context.reading.wait_token(token)
    url = context.fleet.caller_urls[number]
    path = f"{url}/v1/answers/{context.reading.answer.request_id}"
    response = httpx.delete(path, headers=make_headers(KEY), trust_env=False)
    assert response.status_code == 200, response.text


@when("the caller goes away at token {token:d}")
def go_away(context, token):
    context.reading.wait_token(token)
    context.reading.leave()
    context.reading.join(WAIT_S)


@then("the answer is whole")
def check_whole(context):
    finish_reading(context, context.reading)
    answer = context.reading.answer
    assert answer.is_complete, (answer.violations(), answer.error, answer.n_tokens)


@then("all answers are whole")
def check_all_whole(context):
    for reading in context.readings:
        finish_reading(context, reading)
    bad = [a for a in context.answers if not a.is_complete]
    assert not bad, [(a.violations(), a.error, a.n_tokens) for a in bad]


@then("its text comes from {number:d} attempts")
def check_attempts(context, number):
    made = count_attempts(context.reading.answer.tokens)
    assert made == number, made


@then("no engine works on the answer any more")
def check_freed(context):
    request_id = context.reading.answer.request_id

    def n_computed():
        return sum(
            r["n_computed"]
            for r in context.fleet.fetch_engine_records()
            if r["request"].endswith(request_id)
        )

    def is_still():
        before = n_computed()
        time.sleep(0.3)
        return n_computed() == before > 0

    context.fleet.wait_until(is_still, "end of the work on the answer")
    assert n_computed() < context.reading.answer.max_tokens


@then("the answer ended with the code {name}")
def check_code(context, name):
    answer = context.reading.answer
    if answer.error is None:
        context.reading.join(WAIT_S)
    # Another instance cancelled it, so the caller is sent on once.
    if answer.error is None or answer.error["name"] == "OWNERSHIP_LOST":
        again = Reading(context.fleet.caller_urls[0], answer)
        again.start()
        again.join(WAIT_S)
    assert answer.error["name"] == name, answer.error


@then("another customer that asks for it gets the code {name}")
def check_other_customer(context, name):
    for url in context.fleet.caller_urls:
        path = f"{url}/v1/answers/{context.reading.answer.request_id}"
        response = httpx.get(path, headers=make_headers(OTHER_KEY), trust_env=False)
        assert response.json()["error"]["name"] == name, response.text


@when("entries 0, 1 and 2 are killed and started again one after the other")
def roll_entries(context):
    for number in range(3):
        process = context.fleet.process_by_name[f"entry{number}"]
        process.kill()
        # Longer than the time until a holder notices and restores the copies.
        time.sleep(4.0)
        process.start()
        context.fleet.wait_until(context.fleet.all_ready, "ready fleet")
        time.sleep(3.0)


@then("the caller goes on from token {token:d} at entry {number:d}")
def go_on(context, token, number):
    answer = context.reading.answer
    n_before = answer.n_tokens
    reading = Reading(context.fleet.caller_urls[number], answer)
    reading.start()
    reading.wait_token(n_before + 100)
    reading.leave()
    reading.join(WAIT_S)
    assert answer.n_tokens >= n_before + 100 >= token
    assert not answer.violations(), answer.violations()
