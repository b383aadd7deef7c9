"""Tests of answers whose callers come and leave while the instance cleans up."""

import hashlib
import json
import logging
import time

import anyio
import httpx
import pytest
from starlette.requests import ClientDisconnect

from almonddeal.answers.requests import AnswerRequest
from almonddeal.answers.service import AnswerService
from almonddeal.answers.tests.fakes import FakeEntry, FakeNet
from almonddeal.callers.app import CallerInterface
from almonddeal.callers.errors import with_error_responses
from almonddeal.document.model import FleetDocument
from almonddeal.limits.buckets import CustomerLimits

API_KEY = "secret"
DOCUMENT = {
    "format": 1,
    "customers": {
        "kite": {
            "key_sha256": [hashlib.sha256(API_KEY.encode()).hexdigest()],
            "models": ["draft"],
            "resume": {"disconnect_grace_ms": 0},
        }
    },
    "models": {"draft": {"version": "v1"}},
}


class DocumentReplica:
    """Replica that always has the same document."""

    def __init__(self, document):
        self.document = document


class SlowGenerator:
    """Generates one token at once and the rest after a delay."""

    def __init__(self, replicator, delay_s):
        self._replicator = replicator
        self._delay_s = delay_s
        self.n_started = 0

    async def generate(self, answer, customer):
        self.n_started += 1
        if not answer.tokens:
            answer.append_tokens(0, [7], ["a"])
            self._replicator.replicate(answer)
        try:
            await anyio.sleep(self._delay_s)
        finally:
            # Releasing the engine takes a moment, also when cancelled.
            with anyio.CancelScope(shield=True):
                await anyio.sleep(0.05)
        answer.append_tokens(len(answer.tokens), [8], ["b"])
        answer.finish("length")
        self._replicator.replicate(answer)


class Instance:
    """What `CallerInterface` uses of an entry instance, on a fake network."""

    is_fresh = True

    def __init__(self, group, delay_s):
        net = FakeNet(["entry0", "entry1", "entry2"])
        entry = FakeEntry(net, "entry0", group)
        self.document = FleetDocument(1, DOCUMENT)
        self.limits = CustomerLimits(lambda: 1, lambda name: 0)
        self.generator = SlowGenerator(entry.replicator, delay_s)
        self.answers = AnswerService(
            entry.ownership,
            self.generator,
            entry.replicator,
            net.store_by_name["entry0"],
            DocumentReplica(self.document),
            self.limits,
            lambda model: model.version,
            group,
        )


def run_with_instance(test, delay_s):
    """Run an async test with an `Instance` that cleans up, for 20 s at most."""

    async def main():
        with anyio.fail_after(20):
            async with anyio.create_task_group() as group:
                instance = Instance(group, delay_s)
                group.start_soon(instance.answers.clean_periodically)
                await test(instance)
                group.cancel_scope.cancel()

    anyio.run(main)


async def request_stream(app, send):
    """Send one completion request over ASGI; `send` receives the response."""
    body = {"model": "draft", "prompt": "x", "max_tokens": 2, "stream": True}
    messages = [{"type": "http.request", "body": json.dumps(body).encode()}]

    async def receive():
        if not messages:
            await anyio.sleep_forever()
        return messages.pop()

    scope = {
        "type": "http",
        "method": "POST",
        "path": "/v1/completions",
        "raw_path": b"/v1/completions",
        "query_string": b"",
        "headers": [(b"authorization", f"Bearer {API_KEY}".encode())],
        "http_version": "1.1",
        "asgi": {"version": "3.0", "spec_version": "2.4"},
    }
    await app(scope, receive, send)


async def get(instance, path):
    """Return the response to a request for an answer."""
    transport = httpx.ASGITransport(CallerInterface(instance).make_app())
    async with httpx.AsyncClient(transport=transport) as client:
        headers = {"authorization": f"Bearer {API_KEY}"}
        return await client.get(f"http://entry{path}", headers=headers, timeout=5.0)


class TestCallerCount:
    """Pattern: callers of a customer without grace, on a busy instance."""

    def test_slow_response_head_does_not_stop_the_generation(self):
        # While the head is on its way, no event is waited for. A cleaning that took
        # this for the absence of the caller stopped the answer, and the stream never
        # ended.
        async def test(instance):
            sent = []

            async def send(message):
                if message["type"] == "http.response.start":
                    await anyio.sleep(0.7)
                sent.append(message)

            app = CallerInterface(instance).make_app()
            await request_stream(app, send)
            text = b"".join(m.get("body", b"") for m in sent).decode()
            assert "[DONE]" in text
            assert instance.generator.n_started == 1

        run_with_instance(test, delay_s=1.0)

    def test_busy_loop_before_the_response_does_not_stop_the_generation(self):
        async def test(instance):
            texts = []

            async def send(message):
                texts.append(message.get("body", b"").decode())

            async def block_the_loop():
                while True:
                    time.sleep(0.3)
                    await anyio.sleep(0.01)

            app = CallerInterface(instance).make_app()
            async with anyio.create_task_group() as load:
                load.start_soon(block_the_loop)
                async with anyio.create_task_group() as requests:
                    for _ in range(8):
                        requests.start_soon(request_stream, app, send)
                load.cancel_scope.cancel()
            assert "".join(texts).count("[DONE]") == 8

        run_with_instance(test, delay_s=0.5)

    def test_generation_stops_once_the_caller_has_left(self):
        async def test(instance):
            async def send(message):
                raise OSError("the caller has left")

            app = CallerInterface(instance).make_app()
            with pytest.raises((OSError, ClientDisconnect, ExceptionGroup)):
                await request_stream(app, send)
            while instance.answers.n_generating:
                await anyio.sleep(0.05)
            assert instance.generator.n_started == 1

        run_with_instance(test, delay_s=60.0)


class TestAttach:
    def test_attach_while_the_generation_is_being_stopped_generates_again(self):
        async def test(instance):
            customer = instance.document.customer_by_name["kite"]
            request = AnswerRequest("draft", "x", {}, 2, "r1")
            first = await instance.answers.create_or_attach(customer, request)
            await anyio.sleep(0.01)
            task = instance.answers._task_by_key["kite:r1"]
            instance.answers._clean_task("kite:r1", task, 1.0)
            # The cancelled generation has not run since.
            second = await instance.answers.attach(customer, "r1")
            with instance.answers.count_caller(second):
                while not second.is_ended:
                    await anyio.sleep(0.02)
            assert second is not first
            assert instance.generator.n_started == 2

        run_with_instance(test, delay_s=0.2)


class TestStop:
    # Guards against an answer that is taken over late in a stop: its caller is cut as
    # the process ends.
    @pytest.mark.parametrize("path", ["/v1/answers/r1", "/v1/answers/r1?stream=false"])
    def test_attach_to_an_answer_of_another_instance_is_refused(self, path):
        async def test(instance):
            customer = instance.document.customer_by_name["kite"]
            request = AnswerRequest("draft", "x", {}, 2, "r1")
            await instance.answers.create_or_attach(customer, request)
            instance.answers.hand_over()
            instance.answers.is_stopping = True
            response = await get(instance, path)
            assert response.status_code == 503
            assert response.json()["error"]["name"] == "STOPPING"

        run_with_instance(test, delay_s=60.0)

    # Guards against the same cut of an answer whose holders take long to reply.
    def test_answer_that_is_created_as_the_stop_ends_others_is_handed_over(self):
        async def test(instance):
            create = instance.answers._ownership.create
            sent = []

            async def create_slowly(*args):
                await anyio.sleep(0.2)
                return await create(*args)

            async def send(message):
                sent.append(message)

            instance.answers._ownership.create = create_slowly
            app = CallerInterface(instance).make_app()
            with anyio.fail_after(5):
                async with anyio.create_task_group() as requests:
                    requests.start_soon(request_stream, app, send)
                    await anyio.sleep(0.05)
                    instance.answers.hand_over()
            assert sent[0]["status"] == 409
            assert b"OWNERSHIP_LOST" in sent[1]["body"]

        run_with_instance(test, delay_s=60.0)

    # Guards against a stream that ends with an error and without a line in the log.
    def test_stream_that_is_handed_over_ends_with_an_event(self, caplog):
        async def test(instance):
            sent = []

            async def send(message):
                sent.append(message)

            app = CallerInterface(instance).make_app()
            with anyio.fail_after(5):
                async with anyio.create_task_group() as requests:
                    requests.start_soon(request_stream, app, send)
                    while len(sent) < 2:
                        await anyio.sleep(0.01)
                    instance.answers.hand_over()
            body = b"".join(message.get("body", b"") for message in sent)
            assert sent[0]["status"] == 200
            assert b"event: error" in body
            assert b"[DONE]" not in body

        with caplog.at_level(logging.INFO, logger="almonddeal.callers"):
            run_with_instance(test, delay_s=60.0)
        [facts] = [
            r.facts
            for r in caplog.records
            if r.getMessage() == "stream ended with an error event"
        ]
        assert facts["code"] == "OWNERSHIP_LOST"
        assert facts["n_tokens"] == 1

    def test_ended_answer_of_this_instance_is_served(self):
        async def test(instance):
            customer = instance.document.customer_by_name["kite"]
            request = AnswerRequest("draft", "x", {}, 2, "r1")
            answer = await instance.answers.create_or_attach(customer, request)
            with instance.answers.count_caller(answer):
                while not answer.is_ended:
                    await anyio.sleep(0.02)
            instance.answers.is_stopping = True
            instance.answers.hand_over()
            response = await get(instance, "/v1/answers/r1?stream=false")
            assert response.status_code == 200
            assert response.json()["choices"][0]["text"] == "ab"

        run_with_instance(test, delay_s=0.1)


class TestErrorResponses:
    def test_caller_that_disconnects_is_no_failure(self, caplog):
        async def endpoint(request):
            raise ClientDisconnect

        class Request:
            url = type("Url", (), {"path": "/v1/completions"})

        with caplog.at_level(logging.INFO, logger="almonddeal"):
            response = anyio.run(with_error_responses(endpoint), Request)
        assert response.status_code == 499
        assert [r for r in caplog.records if r.levelno >= logging.WARNING] == []

    # Guards against refusals without a line in the log, or with one as long as what
    # the caller sent.
    def test_error_is_logged(self, caplog):
        async def test(instance):
            response = await get(instance, "/v1/answers/" + 1000 * "x")
            assert response.status_code == 400

        with caplog.at_level(logging.INFO, logger="almonddeal.callers"):
            run_with_instance(test, delay_s=0.1)
        [facts] = [
            r.facts for r in caplog.records if r.getMessage() == "request failed"
        ]
        assert facts["code"] == "BAD_REQUEST"
        assert len(facts["path"]) == 200

    # Guards against a fault of our own that closes the connection without an answer.
    def test_fault_is_answered(self, caplog):
        async def test(instance):
            instance.answers.attach = None
            response = await get(instance, "/v1/answers/r1")
            assert response.status_code == 500
            assert response.json()["error"]["name"] == "INTERNAL"

        run_with_instance(test, delay_s=0.1)
        assert [r for r in caplog.records if r.exc_info]

    # Guards against a caller that waits for a generation that has ended in a fault.
    def test_fault_of_a_generation_is_answered(self, caplog):
        async def test(instance):
            async def fail(answer, customer):
                raise ValueError("x")

            instance.generator.generate = fail
            sent = []

            async def send(message):
                sent.append(message)

            with anyio.fail_after(5):
                await request_stream(CallerInterface(instance).make_app(), send)
            assert sent[0]["status"] == 500
            assert b"INTERNAL" in sent[1]["body"]

        run_with_instance(test, delay_s=0.1)
        assert [r for r in caplog.records if r.exc_info]
