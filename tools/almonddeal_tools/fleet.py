"""A fleet of real processes on loopback, for the drivers and the scenarios."""

import json
import os
import random
import shutil
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import httpx

from almonddeal_tools.documents import base_document, sha256
from almonddeal_tools.process import Process

START_TIMEOUT_S = 30.0
PORT_RANGE = (12_000, 32_000)
OPERATOR_TOKEN = "operator-token"
READER_TOKEN = "reader-token"
BIN = Path(sys.executable).parent


def free_ports(n_ports):
    """Return ports that nobody listens on now, below those that systems give out."""
    ports = []
    while len(ports) < n_ports:
        port = random.randrange(*PORT_RANGE)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Fleet:
    """Entry instances, agents and stand-ins in a folder of their own.

    Parameters
    ----------
    n_entries, n_engines, n_services : int
    engine_options : dict, optional
    stop_timeout_s : float
        Time in which told processes finish their work.
    document : dict, optional
        Fleet document; see `base_document`.
    """

    def __init__(
        self,
        n_entries=3,
        n_engines=3,
        n_services=1,
        engine_options=None,
        stop_timeout_s=20.0,
        document=None,
        entry_settings=None,
        relays=None,
    ):
        self.n_entries = n_entries
        self.n_engines = n_engines
        self.n_services = n_services
        self.engine_options = engine_options or {}
        self.stop_timeout_s = stop_timeout_s
        self.document = document or base_document()
        self.entry_settings = entry_settings or {}
        self.folder = None
        self._relays = relays
        self._keeps_logs = False
        self.process_by_name = {}
        self.caller_urls = []
        self.operator_urls = []
        self.engine_urls = []
        self.service_urls = []
        self.entry_addresses = []

    # ---- life ------------------------------------------------------------------

    def __enter__(self):
        self.folder = Path(tempfile.mkdtemp(prefix="almonddeal-"))
        try:
            self._write_all()
            for process in self.process_by_name.values():
                process.start()
            self._wait_leader()
            self.apply(self.document)
            self._wait_targets()
        except BaseException:
            self.__exit__(*sys.exc_info())
            raise
        return self

    def __exit__(self, *exc_info):
        for process in self.process_by_name.values():
            if process.is_running:
                process.resume()
                process.kill()
        if not self._keeps_logs:
            shutil.rmtree(self.folder, ignore_errors=True)

    def keep_logs(self):
        """Keep the folder when the fleet ends, to look into a failure."""
        self._keeps_logs = True
        print("logs are kept in", self.folder)

    def _via(self, source, address):
        """Return where a process dials another, through a relay if there are any."""
        if self._relays is None:
            return address
        return self._relays.route(source, address)

    def _add(self, name, command):
        log_path = self.folder / f"{name}.log"
        self.process_by_name[name] = Process(name, command, log_path)

    def _write(self, name, settings):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        return str(path)

    def _write_all(self):
        ports = iter(free_ports(3 * self.n_entries + 2 * self.n_targets + 8))
        entries = [
            {
                "instance": f"entry{n}",
                "failure_domain": f"fd{n % 3 + 1}",
                "address": f"127.0.0.1:{next(ports)}",
                "disk": n < 3,
            }
            for n in range(self.n_entries)
        ]
        self.entry_addresses = [entry["address"] for entry in entries]
        for entry in entries:
            self._write_entry(entry, entries, next(ports), next(ports))
        for number in range(self.n_engines):
            self._write_engine(number, next(ports), next(ports))
        for number in range(self.n_services):
            self._write_service(number, next(ports), next(ports))

    @property
    def n_targets(self):
        """Number of engines and services."""
        return self.n_engines + self.n_services

    def _write_entry(self, entry, entries, callers_port, operators_port):
        name = entry["instance"]
        entries = [
            {**other, "address": self._via(name, other["address"])}
            if other is not entry
            else other
            for other in entries
        ]
        settings = {
            "instance": name,
            "listen": entry["address"],
            "callers": f"127.0.0.1:{callers_port}",
            "operators_listen": f"127.0.0.1:{operators_port}",
            "entries": entries,
            "operators": [
                {
                    "name": "olu",
                    "token_sha256": sha256(OPERATOR_TOKEN),
                    "role": "administer",
                },
                {
                    "name": "rea",
                    "token_sha256": sha256(READER_TOKEN),
                    "role": "read",
                },
            ],
            "stop_timeout_s": self.stop_timeout_s,
            **self.entry_settings,
        }
        if entry["disk"]:
            settings["data_folder"] = str(self.folder / f"{name}-data")
        self.caller_urls.append(f"http://127.0.0.1:{callers_port}")
        self.operator_urls.append(f"http://127.0.0.1:{operators_port}")
        path = self._write(name, settings)
        self._add(name, [str(BIN / "almonddeal"), "serve", path])

    def _write_engine(self, number, engine_port, agent_port):
        address = f"127.0.0.1:{engine_port}"
        self.engine_urls.append(f"http://{address}")
        self._add(
            f"engine{number}",
            [
                sys.executable,
                "-m",
                "almonddeal_tools.engine",
                "--listen",
                address,
                "--options",
                json.dumps({**self.engine_options, "number": number}),
            ],
        )
        target = {"name": f"engine{number}", "kind": "engine", "address": address}
        self._write_agent(f"agent{number}", number, agent_port, target)

    def _write_service(self, number, service_port, agent_port):
        address = f"127.0.0.1:{service_port}"
        name = f"badges{number}"
        self.service_urls.append(f"http://{address}")
        self._add(
            name,
            [
                sys.executable,
                "-m",
                "almonddeal_tools.service",
                "--listen",
                address,
                "--log",
                str(self.folder / f"{name}.orders"),
            ],
        )
        target = {
            "name": name,
            "kind": "service",
            "service": "badges",
            "address": address,
        }
        self._write_agent(f"agent-{name}", number, agent_port, target)

    def _write_agent(self, name, number, port, target):
        settings = {
            "instance": name,
            "failure_domain": f"fd{number % 3 + 1}",
            "listen": f"127.0.0.1:{port}",
            "advertise": self._via("entries", f"127.0.0.1:{port}"),
            "entries": [self._via(name, a) for a in self.entry_addresses],
            "stop_timeout_s": self.stop_timeout_s,
            "target": target,
        }
        path = self._write(name, settings)
        self._add(name, [str(BIN / "almonddeal-agent"), path])

    # ---- waiting ---------------------------------------------------------------

    def wait_until(self, condition, what, timeout_s=START_TIMEOUT_S):
        """Wait until `condition()` is true, or raise `TimeoutError`."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(0.05)
        raise TimeoutError(f"no {what} within {timeout_s:g} s")

    def _wait_leader(self):
        self.wait_until(
            lambda: any((self.status(n) or {}).get("leader") for n in range(3)),
            "leader",
        )

    def _wait_targets(self):
        self.wait_until(self.all_ready, "ready fleet")

    def all_ready(self):
        """Tell whether every entry instance sees every target take work."""
        for number in range(self.n_entries):
            status = self.status(number)
            if status is None or not status["is_fresh"]:
                return False
            live = [t for t in status["targets"] if t["live"] and t["version"] > 0]
            has_models = all(t["models"] or t["kind"] == "service" for t in live)
            if len(live) < self.n_targets or not has_models:
                return False
            if sum(e["live"] for e in status["entries"]) < self.n_entries:
                return False
        return True

    # ---- operating -------------------------------------------------------------

    def command(self, *arguments, entry=0, token=OPERATOR_TOKEN):
        """Run the product's command line; returns (exit status, output)."""
        environment = {
            **os.environ,
            "ALMONDDEAL_URL": self.operator_urls[entry],
            "ALMONDDEAL_TOKEN": token,
        }
        result = subprocess.run(
            [str(BIN / "almonddeal"), *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        return result.returncode, result.stdout + result.stderr

    def apply(self, document, *options, entry=0):
        """Apply a document through the command line and wait until it is in force."""
        path = self._write("document", document)
        status, output = self.command("apply", path, "--wait", *options, entry=entry)
        if status != 0:
            raise RuntimeError(f"apply ended with {status}: {output}")
        return output

    def try_apply(self, document, entry=0):
        """Apply a document; returns its version, or None if it was not accepted."""
        path = self._write("document", document)
        status, output = self.command("--json", "apply", path, entry=entry)
        return json.loads(output)["version"] if status == 0 else None

    def status(self, entry=0):
        """Return the status that an entry instance tells, or None."""
        headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
        url = self.operator_urls[entry] + "/v1/status"
        try:
            response = httpx.get(url, headers=headers, timeout=2, trust_env=False)
        except httpx.HTTPError:
            return None
        return response.json() if response.status_code == 200 else None

    def engine_records(self):
        """Return the records of all engines that can be asked, as a list of dicts."""
        records = []
        for number, url in enumerate(self.engine_urls):
            try:
                response = httpx.get(f"{url}/records", timeout=5, trust_env=False)
            except httpx.HTTPError:
                continue
            records += [{**r, "engine": number} for r in response.json()]
        return records

    def engine_of(self, request_id):
        """Return the number of the engine that generates an answer, newest attempt."""
        records = [
            record
            for record in self.engine_records()
            if record["request"].endswith(request_id) and record["n_computed"]
        ]
        return max(records, key=lambda record: record["attempt"])["engine"]

    def fault(self, engine, **fault):
        """Order a fault at an engine stand-in."""
        url = f"{self.engine_urls[engine]}/fault"
        httpx.post(url, json=fault, timeout=5, trust_env=False).raise_for_status()

    def executions(self):
        """Return every execution of an order, as a list of dicts."""
        records = []
        for number in range(self.n_services):
            path = self.folder / f"badges{number}.orders"
            if path.exists():
                lines = path.read_text().splitlines()
                records += [json.loads(line) for line in lines]
        return records
