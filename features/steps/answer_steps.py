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
TIMEOUT_S = 30.0


class AnswerReader(threading.Thread):
    """Reads one answer as a caller, on a separate thread."""

    def __init__(self, url, answer, timeout_ms=None):
        super().__init__(daemon=True)
        self.answer = answer
        self._url = url
        self._timeout_ms = timeout_ms
        self._is_disconnected = False

    def run(self):
        anyio.run(self._read)

    async def _read(self):
        async with anyio.create_task_group() as group:
            group.start_soon(self._cancel_on_disconnect, group.cancel_scope)
            await self._read_to_end()
            group.cancel_scope.cancel()

    async def _cancel_on_disconnect(self, scope):
        # Closes the connection, so that events which a paused instance sends after its
        # resume do not reach the caller.
        while not self._is_disconnected:
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
                self.answer.transport_error = repr(error)

    def disconnect(self):
        self._is_disconnected = True

    def wait_for_token(self, n_tokens):
        deadline = time.monotonic() + TIMEOUT_S
        while self.answer.n_tokens < n_tokens:
            assert self.is_alive() and time.monotonic() < deadline, self.answer.error
            time.sleep(0.005)


def start_reader(context, url, n_tokens, timeout_ms=None):
    answer = Answer(f"prompt {len(context.answers)} of {time.time()}", n_tokens)
    reader = AnswerReader(url, answer, timeout_ms)
    reader.start()
    context.answers.append(answer)
    context.reader = reader
    return reader


def read_to_end(context, reader):
    """Read an answer to its end, reconnecting at the entry instances in turn."""
    reader.join(TIMEOUT_S)
    deadline = time.monotonic() + TIMEOUT_S
    number = 0
    while reader.answer.finish_reason is None and time.monotonic() < deadline:
        resumed_reader = AnswerReader(
            context.fleet.caller_urls[number % 3], reader.answer
        )
        resumed_reader.start()
        resumed_reader.join(TIMEOUT_S)
        number += 1
        time.sleep(0.1)


@when("a caller requests an answer of {n_tokens:d} tokens at entry {number:d}")
def request_answer(context, n_tokens, number):
    start_reader(context, context.fleet.caller_urls[number], n_tokens)


@when(
    "a caller requests an answer of {n_tokens:d} tokens at entry {number:d}"
    " within {timeout_ms:d} ms"
)
def request_answer_within(context, n_tokens, number, timeout_ms):
    url = context.fleet.caller_urls[number]
    start_reader(context, url, n_tokens, timeout_ms).join(TIMEOUT_S)


@when("the engine of the answer is killed at token {token:d}")
def kill_engine(context, token):
    context.reader.wait_for_token(token)
    number = context.fleet.find_engine(context.reader.answer.request_id)
    context.fleet.process_by_name[f"engine{number}"].kill()


@when("the stream of the answer hangs at token {token:d}")
def hang_stream(context, token):
    context.reader.wait_for_token(token)
    answer = context.reader.answer
    number = context.fleet.find_engine(answer.request_id)
    context.fleet.inject_fault(number, kind="hang_stream", request=answer.request_id)


@when("the agent of the answer is paused at token {token:d}")
def pause_agent(context, token):
    context.reader.wait_for_token(token)
    number = context.fleet.find_engine(context.reader.answer.request_id)
    context.fleet.process_by_name[f"agent{number}"].pause()


@when("entry {number:d} is killed at token {token:d}")
def kill_entry(context, number, token):
    context.reader.wait_for_token(token)
    context.fleet.process_by_name[f"entry{number}"].kill()
    context.reader.join(TIMEOUT_S)


@when("entry {number:d} is paused at token {token:d}")
def pause_entry_at(context, number, token):
    context.reader.wait_for_token(token)
    context.fleet.process_by_name[f"entry{number}"].pause()


@when("the caller reconnects at entry {number:d}")
def reconnect_at(context, number):
    deadline = time.monotonic() + TIMEOUT_S
    answer = context.reader.answer
    context.reader.disconnect()
    context.reader.join(TIMEOUT_S)
    while answer.finish_reason is None and time.monotonic() < deadline:
        resumed_reader = AnswerReader(context.fleet.caller_urls[number], answer)
        resumed_reader.start()
        resumed_reader.join(TIMEOUT_S)


@when("the answer is cancelled at entry {number:d} at token {token:d}")
def cancel(context, number, token):
    context.reader.wait_for_token(token)
    url = context.fleet.caller_urls[number]
    path = f"{url}/v1/answers/{context.reader.answer.request_id}"
    response = httpx.delete(path, headers=make_headers(KEY), trust_env=False)
    assert response.status_code == 200, response.text


@when("the caller disconnects at token {token:d}")
def disconnect(context, token):
    context.reader.wait_for_token(token)
    context.reader.disconnect()
    context.reader.join(TIMEOUT_S)


@then("the answer is complete")
def check_complete(context):
    read_to_end(context, context.reader)
    answer = context.reader.answer
    assert answer.is_complete, (answer.violations(), answer.error, answer.n_tokens)


@then("all answers are complete")
def check_all_complete(context):
    for reader in context.readers:
        read_to_end(context, reader)
    incomplete = [a for a in context.answers if not a.is_complete]
    assert not incomplete, [(a.violations(), a.error, a.n_tokens) for a in incomplete]


@then("its text comes from {number:d} attempts")
def check_attempts(context, number):
    n_made = count_attempts(context.reader.answer.tokens)
    assert n_made == number, n_made


@then("no engine generates tokens for the answer any more")
def check_no_generation(context):
    request_id = context.reader.answer.request_id

    def count_computed():
        return sum(
            r["n_computed"]
            for r in context.fleet.fetch_engine_records()
            if r["request"].endswith(request_id)
        )

    def is_idle():
        before = count_computed()
        time.sleep(0.3)
        return count_computed() == before > 0

    context.fleet.wait_until(is_idle, "end of the generation")
    assert count_computed() < context.reader.answer.max_tokens


@then("the answer ended with the code {name}")
def check_code(context, name):
    answer = context.reader.answer
    if answer.error is None:
        context.reader.join(TIMEOUT_S)
    # After a cancel at another instance, the stream may end with OWNERSHIP_LOST; the
    # result code follows after one reconnect.
    if answer.error is None or answer.error["name"] == "OWNERSHIP_LOST":
        resumed_reader = AnswerReader(context.fleet.caller_urls[0], answer)
        resumed_reader.start()
        resumed_reader.join(TIMEOUT_S)
    assert answer.error["name"] == name, answer.error


@then("another customer that requests it gets the code {name}")
def check_other_customer(context, name):
    for url in context.fleet.caller_urls:
        path = f"{url}/v1/answers/{context.reader.answer.request_id}"
        response = httpx.get(path, headers=make_headers(OTHER_KEY), trust_env=False)
        assert response.json()["error"]["name"] == name, response.text


@when("entries 0, 1 and 2 are killed and restarted in turn")
def restart_entries(context):
    for number in range(3):
        process = context.fleet.process_by_name[f"entry{number}"]
        process.kill()
        # Longer than it takes a holder to detect the loss and restore the replicas.
        time.sleep(4.0)
        process.start()
        context.fleet.wait_until(context.fleet.all_ready, "ready fleet")
        time.sleep(3.0)


@then("the caller resumes the answer after token {token:d} at entry {number:d}")
def resume_after(context, token, number):
    answer = context.reader.answer
    n_before = answer.n_tokens
    reader = AnswerReader(context.fleet.caller_urls[number], answer)
    reader.start()
    reader.wait_for_token(n_before + 100)
    reader.disconnect()
    reader.join(TIMEOUT_S)
    assert answer.n_tokens >= n_before + 100 >= token
    assert not answer.violations(), answer.violations()
