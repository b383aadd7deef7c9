"""Fleets of real processes on loopback, for the tools and the behave scenarios."""

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

from almonddeal_tools.documents import base_document, sha256_hex
from almonddeal_tools.process import Process

READY_TIMEOUT_S = 30.0
PORT_RANGE = (12_000, 32_000)  # below the ephemeral range of the system
# Ports as "first-end"; fleets that start side by side need ranges of their own, since
# a port that is free now may be bound by another fleet before this one binds it.
PORT_RANGE_VARIABLE = "ALMONDDEAL_TOOLS_PORTS"
OPERATOR_TOKEN = "operator-token"
READER_TOKEN = "reader-token"
BIN_FOLDER = Path(sys.executable).parent


def _port_range():
    text = os.environ.get(PORT_RANGE_VARIABLE)
    return tuple(int(port) for port in text.split("-")) if text else PORT_RANGE


def find_free_ports(n_ports):
    """Return ports that are free now, from the range in use."""
    ports = []
    first, end = _port_range()
    while len(ports) < n_ports:
        port = random.randrange(first, end)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Fleet:
    """Entry instances, agents and stand-ins that share a temporary folder.

    A context manager: entering it starts all processes, applies the fleet document and
    waits until the fleet is ready; leaving it kills them and deletes the folder.

    Parameters
    ----------
    n_entries, n_engines, n_services : int
    engine_options : dict, optional
        Options of the engine stand-ins; see `almonddeal_tools.engine`.
    stop_timeout_s : float
        Time that processes have to finish their work after SIGTERM.
    document : dict, optional
        Fleet document; see `base_document`.
    entry_settings : dict, optional
        Settings of the entry instances beside the generated ones.
    proxies : TcpProxies, optional
        Proxies for the links between entry instances and agents.
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
        proxies=None,
    ):
        self.n_entries = n_entries
        self.n_engines = n_engines
        self.n_services = n_services
        self.engine_options = engine_options or {}
        self.stop_timeout_s = stop_timeout_s
        self.document = document or base_document()
        self.entry_settings = entry_settings or {}
        self.folder = None
        self._proxies = proxies
        self._is_folder_kept = False
        self.process_by_name = {}
        self.caller_urls = []
        self.operator_urls = []
        self.engine_urls = []
        self.service_urls = []
        self.entry_addresses = []

    def __enter__(self):
        self.folder = Path(tempfile.mkdtemp(prefix="almonddeal-"))
        try:
            self._configure_processes()
            for process in self.process_by_name.values():
                process.start()
            self._wait_for_leader()
            self.apply(self.document)
            self._wait_until_ready()
        except BaseException:
            self.__exit__(*sys.exc_info())
            raise
        return self

    def __exit__(self, *exc_info):
        for process in self.process_by_name.values():
            if process.is_running:
                process.resume()
                process.kill()
        if not self._is_folder_kept:
            shutil.rmtree(self.folder, ignore_errors=True)

    def keep_logs(self):
        """Keep the folder and its logs after the exit, to analyse a failure."""
        self._is_folder_kept = True
        print("logs are kept in", self.folder)

    def _dial_address(self, source, address):
        """Return the address at which `source` reaches `address`, a proxy if used."""
        if self._proxies is None:
            return address
        return self._proxies.add_route(source, address)

    def _add_process(self, name, command):
        log_path = self.folder / f"{name}.log"
        self.process_by_name[name] = Process(name, command, log_path)

    def _write_json(self, name, settings):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        return str(path)

    def _configure_processes(self):
        ports = iter(find_free_ports(3 * self.n_entries + 2 * self.n_targets + 8))
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
            self._configure_entry(entry, entries, next(ports), next(ports))
        for number in range(self.n_engines):
            self._configure_engine(number, next(ports), next(ports))
        for number in range(self.n_services):
            self._configure_service(number, next(ports), next(ports))

    @property
    def n_targets(self):
        """Number of targets: engines and services."""
        return self.n_engines + self.n_services

    def _configure_entry(self, entry, entries, callers_port, operators_port):
        name = entry["instance"]
        entries = [
            {**other, "address": self._dial_address(name, other["address"])}
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
                    "token_sha256": sha256_hex(OPERATOR_TOKEN),
                    "role": "administer",
                },
                {
                    "name": "rea",
                    "token_sha256": sha256_hex(READER_TOKEN),
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
        path = self._write_json(name, settings)
        self._add_process(name, [str(BIN_FOLDER / "almonddeal"), "serve", path])

    def _configure_engine(self, number, engine_port, agent_port):
        address = f"127.0.0.1:{engine_port}"
        self.engine_urls.append(f"http://{address}")
        self._add_process(
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
        self._configure_agent(f"agent{number}", number, agent_port, target)

    def _configure_service(self, number, service_port, agent_port):
        address = f"127.0.0.1:{service_port}"
        name = f"badges{number}"
        self.service_urls.append(f"http://{address}")
        self._add_process(
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
        self._configure_agent(f"agent-{name}", number, agent_port, target)

    def _configure_agent(self, name, number, port, target):
        settings = {
            "instance": name,
            "failure_domain": f"fd{number % 3 + 1}",
            "listen": f"127.0.0.1:{port}",
            "advertise": self._dial_address("entries", f"127.0.0.1:{port}"),
            "entries": [self._dial_address(name, a) for a in self.entry_addresses],
            "stop_timeout_s": self.stop_timeout_s,
            "target": target,
        }
        path = self._write_json(name, settings)
        self._add_process(name, [str(BIN_FOLDER / "almonddeal-agent"), path])

    def wait_until(self, condition, description, timeout_s=READY_TIMEOUT_S):
        """Wait until `condition()` is true.

        Raises
        ------
        TimeoutError
            If it is not true within `timeout_s`.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(0.05)
        raise TimeoutError(f"waiting for {description} timed out after {timeout_s:g} s")

    def _wait_for_leader(self):
        self.wait_until(
            # The instance to which the first document is sent may start last.
            lambda: (self.fetch_status() or {}).get("leader"),
            "leader",
        )

    def _wait_until_ready(self):
        self.wait_until(self.all_ready, "ready fleet")

    def all_ready(self):
        """Return whether every entry instance sees all targets and entries live.

        An engine counts only with a loaded model, a target only with a document.
        """
        for number in range(self.n_entries):
            status = self.fetch_status(number)
            if status is None or not status["is_fresh"]:
                return False
            live = [t for t in status["targets"] if t["live"] and t["version"] > 0]
            has_models = all(t["models"] or t["kind"] == "service" for t in live)
            if len(live) < self.n_targets or not has_models:
                return False
            if sum(e["live"] for e in status["entries"]) < self.n_entries:
                return False
        return True

    def run_cli(self, *arguments, entry=0, token=OPERATOR_TOKEN):
        """Run ``almonddeal`` with arguments.

        Returns
        -------
        exit_status : int
        output : str
            Standard output followed by standard error.
        """
        environment = {
            **os.environ,
            "ALMONDDEAL_URL": self.operator_urls[entry],
            "ALMONDDEAL_TOKEN": token,
        }
        result = subprocess.run(
            [str(BIN_FOLDER / "almonddeal"), *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        return result.returncode, result.stdout + result.stderr

    def apply(self, document, *options, entry=0):
        """Apply a document with ``almonddeal apply --wait``; returns the output.

        Raises
        ------
        RuntimeError
            If the exit status is not 0.
        """
        path = self._write_json("document", document)
        status, output = self.run_cli("apply", path, "--wait", *options, entry=entry)
        if status != 0:
            raise RuntimeError(
                f"almonddeal apply exited with status {status}: {output}"
            )
        return output

    def try_apply(self, document, entry=0):
        """Apply a document; returns its version, or None if it was not accepted."""
        path = self._write_json("document", document)
        status, output = self.run_cli("--json", "apply", path, entry=entry)
        return json.loads(output)["version"] if status == 0 else None

    def fetch_status(self, entry=0):
        """Return ``/v1/status`` of an entry instance as a dict, or None on an error."""
        headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
        url = self.operator_urls[entry] + "/v1/status"
        try:
            response = httpx.get(url, headers=headers, timeout=2, trust_env=False)
        except httpx.HTTPError:
            return None
        return response.json() if response.status_code == 200 else None

    def fetch_engine_records(self):
        """Return the records of all engines that can be reached, as a list of dicts."""
        records = []
        for number, url in enumerate(self.engine_urls):
            try:
                response = httpx.get(f"{url}/records", timeout=5, trust_env=False)
            except httpx.HTTPError:
                continue
            records += [{**r, "engine": number} for r in response.json()]
        return records

    def find_engine(self, request_id):
        """Return the number of the engine that runs the latest attempt of an answer."""
        records = [
            record
            for record in self.fetch_engine_records()
            if record["request"].endswith(request_id) and record["n_computed"]
        ]
        return max(records, key=lambda record: record["attempt"])["engine"]

    def inject_fault(self, engine, **fault):
        """Inject a fault into an engine stand-in; see ``POST /fault`` there."""
        url = f"{self.engine_urls[engine]}/fault"
        httpx.post(url, json=fault, timeout=5, trust_env=False).raise_for_status()

    def read_executions(self):
        """Return the records of all executions of orders, as a list of dicts."""
        records = []
        for number in range(self.n_services):
            path = self.folder / f"badges{number}.orders"
            if path.exists():
                lines = path.read_text().splitlines()
                records += [json.loads(line) for line in lines]
        return records
