"""Runs formatter, linter, pytest and behave, and prints one total of the results.

Tests and features run side by side, on `N_WORKERS` processes. A test that
KNOWN-RED.txt names with a line ``test: <id>`` is deselected. The file is printed before
the total.
"""

import os
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from almonddeal_tools.fleet import PORT_RANGE, PORT_RANGE_VARIABLE

BIN_FOLDER = Path(sys.executable).parent
ROOT = Path(__file__).resolve().parents[2]
PYTEST_COUNT = re.compile(r"(\d+) (passed|failed|error)")
BEHAVE_COUNT = re.compile(r"(\d+) scenarios? passed, (\d+) failed(?:, (\d+) error)?")
N_WORKERS = 4
KNOWN_RED = ROOT / "KNOWN-RED.txt"
KNOWN_RED_TEST = re.compile(r"^test: (\S+)$", re.MULTILINE)


def _run_tool(*command, environment=None):
    """Run a tool; returns its exit status and its output, which is also printed."""
    result = subprocess.run(
        [str(BIN_FOLDER / command[0]), *command[1:]],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
        env=environment,
    )
    # One call, as features run side by side.
    print(f"$ {' '.join(command)}\n{result.stdout}", flush=True)
    return result.returncode, result.stdout


def _run_check(*command):
    status, _ = _run_tool(*command)
    return (1, 0) if status == 0 else (0, 1)


def _known_red_tests():
    return KNOWN_RED_TEST.findall(KNOWN_RED.read_text())


def _run_pytest():
    deselected = [f"--deselect={test}" for test in _known_red_tests()]
    workers = ["--numprocesses", str(N_WORKERS), "-p", "almonddeal_tools.scheduling"]
    status, output = _run_tool("pytest", *workers, *deselected)
    counts = {"passed": 0, "failed": 0, "error": 0}
    for number, kind in PYTEST_COUNT.findall(output.splitlines()[-1]):
        counts[kind] = int(number)
    n_failed = counts["failed"] + counts["error"]
    return counts["passed"], max(n_failed, int(status != 0))


def _run_feature(path, ports):
    """Run the scenarios of one feature; its fleets use the given range of ports."""
    environment = {**os.environ, PORT_RANGE_VARIABLE: f"{ports.start}-{ports.stop}"}
    command = ("behave", "--format", "progress3", str(path))
    status, output = _run_tool(*command, environment=environment)
    match = BEHAVE_COUNT.search(output)
    if match is None:
        return 0, 1
    n_passed, n_failed, n_errors = (int(n or 0) for n in match.groups())
    return n_passed, max(n_failed + n_errors, int(status != 0))


def _run_behave():
    paths = sorted((ROOT / "features").glob("*.feature"))
    ports = range(*PORT_RANGE)
    n_ports = len(ports) // len(paths)
    slices = [ports[n * n_ports : (n + 1) * n_ports] for n in range(len(paths))]
    with ThreadPoolExecutor(N_WORKERS) as workers:
        results = list(workers.map(_run_feature, paths, slices))
    return sum(n for n, _ in results), sum(n for _, n in results)


def main():
    """Run all checks; the exit status is 0 only if all of them passed."""
    results = [
        _run_check("ruff", "format", "--check", "."),
        _run_check("ruff", "check", "."),
        _run_pytest(),
        _run_behave(),
    ]
    n_passed = sum(passed for passed, _ in results)
    n_failed = sum(failed for _, failed in results)
    print(f"known red:\n{KNOWN_RED.read_text()}")
    print(f"{n_passed} passed, {n_failed} failed")
    sys.exit(1 if n_failed else 0)


if __name__ == "__main__":
    main()
