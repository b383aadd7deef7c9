import json
import socket
import threading
import time

import httpx
from behave import then, when

from almonddeal_tools.caller import make_headers
from almonddeal_tools.documents import KEY_BY_CUSTOMER

KEY = KEY_BY_CUSTOMER["tujenge"]
RIGHT = {"model": "draft", "prompt": "marked as bad", "max_tokens": 5}
DEEP = "[" * 100_000
MEGABYTE = 1024 * 1024

# What differs from a right request: body, headers, path.
CASE_BY_NAME = {
    "a body that is not JSON": {"content": "{"},
    "a body that is a list": {"content": "[]"},
    "a body that is very deep": {"content": DEEP},
    "a body of 5 megabytes": {"content": "x" * (5 * MEGABYTE)},
    "no prompt": {"content": json.dumps({"model": "draft"})},
    "no tokens wanted": {"content": json.dumps({**RIGHT, "max_tokens": 0})},
    "too many answers wanted": {"content": json.dumps({**RIGHT, "n": 3})},
    "an unknown model": {"content": json.dumps({**RIGHT, "model": "none"})},
    "a wrong key": {"headers": make_headers("wrong")},
    "no key": {"headers": {}},
    "a malformed request id": {"headers": make_headers(KEY, **{"x-request-id": "a b"})},
    "a malformed deadline": {"headers": make_headers(KEY, **{"x-timeout-ms": "soon"})},
    "an unknown service": {"path": "/services/none/x"},
}


@when("a request is sent with {what}")
def send_bad(context, what):
    case = {
        "content": json.dumps(RIGHT),
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
    context.replies.append((response.status_code, response.text, response))


@then("no engine ran anything for it")
def check_nothing_ran(context):
    assert context.fleet.fetch_engine_records() == []


class SlowCallers(threading.Thread):
    """Connections that send a request a byte at a time."""

    def __init__(self, url, n_connections):
        super().__init__(daemon=True)
        host, _, port = url.removeprefix("http://").partition(":")
        self._sockets = [
            socket.create_connection((host, int(port))) for _ in range(n_connections)
        ]
        self.is_over = False

    def run(self):
        for byte in b"POST /v1/completions HTTP/1.1 ":
            for sock in self._sockets:
                try:
                    sock.send(bytes([byte]))
                except OSError:
                    continue
            time.sleep(0.2)
            if self.is_over:
                break
        for sock in self._sockets:
            sock.close()


@when("{number:d} connections are opened that send one byte now and then")
def open_slow(context, number):
    context.slow = SlowCallers(context.fleet.caller_urls[0], number)
    context.slow.start()


@then("the slow connections are still open")
def check_slow(context):
    assert context.slow.is_alive()
    context.slow.is_over = True
    context.slow.join()
