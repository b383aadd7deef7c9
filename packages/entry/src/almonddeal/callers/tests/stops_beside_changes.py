"""Requests at each stage as a key is revoked, targets are silent and an entry stops."""

import copy
import http.client
import json
import random
import signal
import socket
import threading
import time
from contextlib import suppress
from datetime import datetime
from urllib.parse import urlsplit

import httpx

from almonddeal_tools.caller import Answer, make_body
from almonddeal_tools.documents import KEY_BY_CUSTOMER, sha256_hex
from almonddeal_tools.fleet import OPERATOR_TOKEN

REVOKED, KEPT = "keystone", "tujenge"
LEAD_S = 1.2  # to open connections before the moment
SPREAD_S = 0.05
MAX_GAP_S = 0.02
SILENT_S = (0.6, 1.3)
LATE_S = 10.0
CALLS_S = 5.5  # from the moment; connections are closed by the stop before
CROSSING_S = 0.03  # a request that crosses a close was not sent much earlier
LONG_PAUSE_S = 0.9  # of a head that a close need not wait for
N_TOKENS = 60
EXIT_S = 12.0
STAGES = ("half head", "whole head", "half body", "sent", "answered", "next request")
KINDS = ("lookup", "order", "whole", "stream")
SPREADS = ("none", "one", "service", "all")


class Exchange:
    """One request of a caller, and what it received.

    Attributes
    ----------
    begun_s, sent_s, ended_s : float
        When the first and the last byte were sent, and the response or the connection
        ended.
    is_whole : bool
        Whether all of the request was sent.
    status : int or None
        None without a response.
    is_complete, is_right : bool
        Whether the response ended, and with what belongs to the request.
    error : str or None
        Name of the code of an error response, or of the event that ends a stream.
    """

    __slots__ = (
        "answer",
        "begun_s",
        "client",
        "customer",
        "ended_s",
        "error",
        "is_complete",
        "is_right",
        "is_whole",
        "kind",
        "request_id",
        "sent_s",
        "stage",
        "status",
    )

    def __init__(self, request_id, kind, customer, stage):
        self.request_id = request_id
        self.kind = kind
        self.customer = customer
        self.stage = stage
        self.answer = Answer(f"prompt {request_id}", N_TOKENS)
        self.begun_s = self.sent_s = self.ended_s = 0.0
        self.is_whole = self.is_complete = self.is_right = False
        self.status = self.error = self.client = None

    def __repr__(self):
        return (
            f"{self.request_id} {self.customer} {self.status} {self.error} from "
            f"{self.client}, took {self.ended_s - self.begun_s:.2f} s"
        )

    def parts(self):
        """Return the head and the body of the request."""
        key = KEY_BY_CUSTOMER[self.customer]
        lines, body = [f"authorization: Bearer {key}", "host: desk.example"], b""
        if self.kind == "lookup":
            target = f"GET /services/badges/status/{self.request_id}"
        elif self.kind == "order":
            target, body = "POST /services/badges/orders", self.request_id.encode()
            lines.append(f"idempotency-key: {self.request_id}")
        else:
            target = "POST /v1/completions"
            body = json.dumps(make_body(self.answer, self.kind == "stream")).encode()
            lines.append(f"x-request-id: {self.request_id}")
        lines.append(f"content-length: {len(body)}")
        return "\r\n".join([f"{target} HTTP/1.1", *lines, "", ""]).encode(), body

    def receive(self, connection):
        """Read the response; returns whether the connection may be used on."""
        method = "GET" if self.kind == "lookup" else "POST"
        response = http.client.HTTPResponse(connection, method=method)
        response.begin()
        self.status = response.status
        received = response.read()
        self.is_complete = True
        self._check(received)
        return not response.will_close

    def _check(self, received):
        if self.status != http.client.OK:
            self.error = json.loads(received)["error"]["name"]
        elif self.kind == "lookup":
            path = f"/status/{self.request_id}"
            self.is_right = json.loads(received)["path"] == path
        elif self.kind == "order":
            self.is_right = json.loads(received)["body"] == self.request_id
        elif self.kind == "whole":
            choice = json.loads(received)["choices"][0]
            self.answer.text = choice["text"]
            self.answer.finish_reason = choice["finish_reason"]
            self.is_right = self.answer.is_complete
        else:
            self._check_events(received.decode())

    def _check_events(self, text):
        for event in text.split("\n\n"):
            fields = dict(
                line.split(": ", 1) for line in event.splitlines() if ": " in line
            )
            if fields.get("event") == "error":
                self.error = json.loads(fields["data"])["error"]["name"]
            elif "id" in fields:
                self.answer.apply_event(fields["id"], json.loads(fields["data"]))
        self.is_right = self.answer.is_complete and "data: [DONE]" in text


class StoppedEntry:
    """Callers of one entry instance that stops as a key is revoked, by a seed.

    Parameters
    ----------
    fleet : Fleet
    seed : int

    Attributes
    ----------
    exchanges : list of Exchange
    span_s : float
        From the first to the last of what coincides.
    """

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._chosen = random.Random(f"stop-{seed}")
        self._name = f"{seed}-{random.getrandbits(24):x}"
        self._number = seed % fleet.n_entries
        self._process = fleet.process_by_name[f"entry{self._number}"]
        self._signal = (signal.SIGTERM, signal.SIGHUP)[seed // 2 % 2]
        self._is_signal_first = bool(seed % 2)
        self._spread = SPREADS[seed // 4 % len(SPREADS)]
        self._n_logged = len(self._process.read_log())
        self._stopped_s = self._revoked_s = 0.0
        self.exchanges = []
        self.span_s = 0.0
        self.n_silent = 0

    def run(self):
        """Run the play and restore the fleet; returns it."""
        moment_s = time.monotonic() + LEAD_S
        threads = [
            threading.Thread(
                target=self._call_at, args=[moment_s, kind, stage], daemon=True
            )
            for kind in KINDS
            for stage in STAGES
        ]
        silence = threading.Thread(target=self._silence, args=[moment_s], daemon=True)
        for thread in [*threads, silence]:
            thread.start()
        _sleep_until(moment_s)
        self._coincide()
        exit_status = self._process.wait(EXIT_S)
        for thread in [*threads, silence]:
            thread.join(30.0)
        assert not any(thread.is_alive() for thread in threads)
        assert exit_status == 0
        self._restore()
        return self

    def _coincide(self):
        document = copy.deepcopy(self._fleet.document)
        document["customers"][REVOKED]["key_sha256"] = [sha256_hex("another key")]
        entry = (self._number + 1) % self._fleet.n_entries
        begun_s = time.monotonic()
        if self._is_signal_first:
            self._stop()
            time.sleep(self._chosen.uniform(0, MAX_GAP_S))
        self._revoked_s = time.monotonic()
        response = httpx.post(
            f"{self._fleet.operator_urls[entry]}/v1/apply",
            json={"document": document},
            headers={"authorization": f"Bearer {OPERATOR_TOKEN}"},
            timeout=10.0,
            trust_env=False,
        )
        response.raise_for_status()
        if not self._is_signal_first:
            time.sleep(self._chosen.uniform(0, MAX_GAP_S))
            self._stop()
        self.span_s = time.monotonic() - begun_s

    def _stop(self):
        self._stopped_s = time.monotonic()
        self._process.send_signal(self._signal)

    def _silence(self, moment_s):
        """Suspend targets around the moment."""
        names = ["engine0", "engine1", "engine2", "badges0"]
        if self._spread == "one":
            names = [self._chosen.choice(names)]
        elif self._spread == "service":
            names = self._chosen.choice([names[:3], names[3:]])
        elif self._spread == "none":
            return
        _sleep_until(moment_s + self._chosen.uniform(-0.6, 0.6))
        processes = [self._fleet.process_by_name[name] for name in names]
        for process in processes:
            process.pause()
        time.sleep(self._chosen.uniform(*SILENT_S))
        for process in processes:
            process.resume()
        self.n_silent = len(processes)

    def _restore(self):
        self._process.start()
        self._fleet.apply(
            self._fleet.document, entry=(self._number + 1) % self._fleet.n_entries
        )
        self._fleet.wait_until(self._fleet.all_ready, "ready fleet")

    def _call_at(self, moment_s, kind, stage):
        """Bring a request of a kept connection to a stage at a moment."""
        name = f"{self._name}-{kind}-{stage}".replace(" ", "-")
        chosen = random.Random(f"{self._name.partition('-')[0]}-{kind}-{stage}")
        customer = chosen.choice([REVOKED, KEPT])
        begin_s = moment_s + {
            "sent": chosen.uniform(-0.01, SPREAD_S),
            "answered": -chosen.uniform(0.0, 0.2),
            "next request": -chosen.uniform(0.0, 0.35),
        }.get(stage, -chosen.uniform(0.01, 0.2))
        pause_s = moment_s - begin_s + chosen.uniform(0, chosen.choice([0.05, 0.3]))
        if stage == "half head" and chosen.random() < 0.2:
            pause_s += chosen.uniform(LONG_PAUSE_S, 2 * LONG_PAUSE_S)
        url = urlsplit(self._fleet.caller_urls[self._number])
        address = (url.hostname, url.port)
        _sleep_until(begin_s - chosen.choice([0.1, 0.4]))
        with socket.create_connection(address, timeout=20.0) as connection:
            first = Exchange(f"{name}-a", "lookup", KEPT, "before")
            if not self._send(connection, first, 0.0, chosen):
                return
            _sleep_until(begin_s)
            exchange = Exchange(f"{name}-b", kind, customer, stage)
            is_open = self._send(connection, exchange, pause_s, chosen)
            number = 0
            while is_open and time.monotonic() < moment_s + CALLS_S:
                if number or stage != "next request":
                    time.sleep(chosen.uniform(0, 0.2))
                number += 1
                kind = chosen.choice(KINDS)
                exchange = Exchange(f"{name}-c{number}", kind, customer, "behind")
                is_open = self._send(connection, exchange, 0.0, chosen)

    def _send(self, connection, exchange, pause_s, chosen):
        self.exchanges.append(exchange)
        exchange.client = "{}:{}".format(*connection.getsockname())
        head, body = exchange.parts()
        data = head + body
        first, end = {
            "half head": (1, len(head)),
            "whole head": (len(head), len(head) + 1),
            "half body": (len(head), len(data)),
        }.get(exchange.stage, (0, 1))
        at = chosen.randrange(first, end) if first < end else 0
        at %= len(data)
        exchange.begun_s = time.monotonic()
        is_open = False
        with suppress(OSError, http.client.HTTPException):
            if at:
                connection.sendall(data[:at])
                time.sleep(pause_s)
            connection.sendall(data[at:])
            exchange.is_whole = True
            exchange.sent_s = time.monotonic()
            is_open = exchange.receive(connection)
        exchange.ended_s = time.monotonic()
        return is_open

    def faults(self):
        """Return what the rules do not allow, with its request."""
        close_by_client, broken = self._read_log()
        orders = [record["key"] for record in self._fleet.read_executions()]
        records = self._fleet.fetch_engine_records()
        run = {*orders, *(record["request"].rpartition(":")[2] for record in records)}
        faults = [(text, None) for text in broken]
        for exchange in self.exchanges:
            is_twice = orders.count(exchange.request_id) > 1
            close = close_by_client.get(exchange.client)
            fault = self._fault(exchange, close, exchange.request_id in run)
            if is_twice or fault:
                faults.append(("ran twice" if is_twice else fault, exchange))
        return faults

    def _read_log(self):
        close_by_client, broken = {}, []
        clock_s = time.time() - time.monotonic()
        for text in self._process.read_log()[self._n_logged :].splitlines():
            if not text.startswith("{"):
                broken.append(text)
                continue
            line = json.loads(text)
            if line["message"] == "connection closed":
                closed_s = datetime.fromisoformat(line["time"]).timestamp() - clock_s
                close = (line["cause"], line["last_request"], closed_s)
                close_by_client[line["client"]] = close
            if "exception" in line or line["message"] == "fault in a connection":
                broken.append(text)
        return close_by_client, broken

    def _fault(self, exchange, close, was_run):
        """Return why a request did not end as the rules allow; None if it did."""
        if exchange.status is None:
            return self._fault_of_close(exchange, close, was_run)
        if not exchange.is_complete:
            return "cut response"
        if exchange.ended_s - exchange.sent_s > LATE_S:
            return "late response"
        is_stopping = exchange.ended_s > self._stopped_s > 0.0
        is_revoked = exchange.customer == REVOKED and (
            exchange.ended_s > self._revoked_s > 0.0
        )
        is_allowed = {
            200: exchange.is_right,
            401: is_revoked and exchange.error == "UNAUTHENTICATED" and not was_run,
            503: is_stopping and exchange.error == "STOPPING" and not was_run,
        }
        if is_allowed.get(exchange.status):
            return None
        return f"untrue response, was run: {was_run}"

    def _fault_of_close(self, exchange, close, was_run):
        if was_run or close is None:
            return f"no answer, {close}, was run: {was_run}"
        cause, progress, closed_s = close
        is_slow_head = exchange.ended_s - exchange.begun_s >= LONG_PAUSE_S
        is_crossing = exchange.begun_s > closed_s - CROSSING_S
        is_allowed = {"none": is_crossing, "request incomplete": is_slow_head}
        if cause == "stop" and is_allowed.get(progress):
            return None
        return f"no answer, begun {closed_s - exchange.begun_s:.3f} s before {close}"

    def summary(self):
        """Return what coincided, and how many requests there were, by their end."""
        counts = {}
        for exchange in self.exchanges:
            end = "whole" if exchange.is_complete else "cut"
            kind = (exchange.status, exchange.error, end)
            counts[kind] = counts.get(kind, 0) + 1
        order = "before" if self._is_signal_first else "behind"
        return (
            f"{self._name}: {self._signal.name} to entry{self._number} {order} the "
            f"change, {1000 * self.span_s:.0f} ms, silent {self._spread} "
            f"({self.n_silent}), requests {counts}"
        )


def _sleep_until(at_s):
    time.sleep(max(0.0, at_s - time.monotonic()))
