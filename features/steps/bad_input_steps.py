import json
import socket
import threading
import time

import httpx
from behave import then, when

from almonddeal_tools.caller import make_headers
from almonddeal_tools.documents import KEY_BY_CUSTOMER

KEY = KEY_BY_CUSTOMER["tujenge"]
VALID_BODY = {"model": "draft", "prompt": "marked as bad", "max_tokens": 5}
DEEPLY_NESTED_JSON = "[" * 100_000
MEGABYTE = 1024 * 1024

# Differences from a valid request, by the text of the example.
CASE_BY_NAME = {
    "a body that is not JSON": {"content": "{"},
    "a body that is a list": {"content": "[]"},
    "a body that is very deep": {"content": DEEPLY_NESTED_JSON},
    "a body of 5 megabytes": {"content": "x" * (5 * MEGABYTE)},
    "no prompt": {"content": json.dumps({"model": "draft"})},
    "no tokens wanted": {"content": json.dumps({**VALID_BODY, "max_tokens": 0})},
    "too many answers wanted": {"content": json.dumps({**VALID_BODY, "n": 3})},
    "an unknown model": {"content": json.dumps({**VALID_BODY, "model": "none"})},
    "a wrong key": {"headers": make_headers("wrong")},
    "no key": {"headers": {}},
    "a malformed request id": {"headers": make_headers(KEY, **{"x-request-id": "a b"})},
    "a malformed deadline": {"headers": make_headers(KEY, **{"x-timeout-ms": "soon"})},
    "an unknown service": {"path": "/services/none/x"},
}


@when("a request is sent with {what}")
def send_invalid(context, what):
    case = {
        "content": json.dumps(VALID_BODY),
        "headers": make_headers(KEY),
        "path": "/v1/completions",
        **CASE_BY_NAME[what],
    }
    url = context.fleet.caller_urls[0] + case["path"]
    response = httpx.post(
        url,
        content=case["content"],
        headers=case["headers"],
        timeout=20,
        trust_env=False,
    )
    context.responses.append((response.status_code, response.text, response))


@then("no engine has a record of an attempt")
def check_no_attempt(context):
    assert context.fleet.fetch_engine_records() == []


class SlowConnections(threading.Thread):
    """Connections that each send a request at one byte every 200 ms."""

    def __init__(self, url, n_connections):
        super().__init__(daemon=True)
        host, _, port = url.removeprefix("http://").partition(":")
        self._sockets = [
            socket.create_connection((host, int(port))) for _ in range(n_connections)
        ]
        self.is_stopped = False

    def run(self):
        for byte in b"POST /v1/completions HTTP/1.1 ":
            for sock in self._sockets:
                try:
                    sock.send(bytes([byte]))
                except OSError:
                    continue
            time.sleep(0.2)
            if self.is_stopped:
                break
        for sock in self._sockets:
            sock.close()


@when("{number:d} connections send one byte every 200 ms")
def open_slow_connections(context, number):
    context.slow_connections = SlowConnections(context.fleet.caller_urls[0], number)
    context.slow_connections.start()


@then("the slow connections are still open")
def check_slow_connections(context):
    assert context.slow_connections.is_alive()
    context.slow_connections.is_stopped = True
    context.slow_connections.join()
