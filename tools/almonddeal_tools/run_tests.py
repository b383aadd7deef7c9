"""Runs formatter, linter, pytest and behave, and prints one total of the results.

A test that KNOWN-RED.txt names with a line ``test: <id>`` is deselected. The file is
printed before the total.
"""

import re
import subprocess
import sys
from pathlib import Path

BIN_FOLDER = Path(sys.executable).parent
ROOT = Path(__file__).resolve().parents[2]
PYTEST_COUNT = re.compile(r"(\d+) (passed|failed|error)")
BEHAVE_COUNT = re.compile(r"(\d+) scenarios? passed, (\d+) failed(?:, (\d+) error)?")
KNOWN_RED = ROOT / "KNOWN-RED.txt"
KNOWN_RED_TEST = re.compile(r"^test: (\S+)$", re.MULTILINE)


def _run_tool(*command):
    print("$", " ".join(command), flush=True)
    result = subprocess.run(
        [str(BIN_FOLDER / command[0]), *command[1:]],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    print(result.stdout, flush=True)
    return result.returncode, result.stdout


def _run_check(*command):
    status, _ = _run_tool(*command)
    return (1, 0) if status == 0 else (0, 1)


def _known_red_tests():
    return KNOWN_RED_TEST.findall(KNOWN_RED.read_text())


def _run_pytest():
    deselected = [f"--deselect={test}" for test in _known_red_tests()]
    status, output = _run_tool("pytest", *deselected)
    counts = {"passed": 0, "failed": 0, "error": 0}
    for number, kind in PYTEST_COUNT.findall(output.splitlines()[-1]):
        counts[kind] = int(number)
    n_failed = counts["failed"] + counts["error"]
    return counts["passed"], max(n_failed, int(status != 0))


def _run_behave():
    status, output = _run_tool("behave", "--format", "progress3")
    match = BEHAVE_COUNT.search(output)
    n_passed, n_failed, n_errors = (
        (int(n or 0) for n in match.groups())
        if match
        else (
            0,
            1,
            0,
        )
    )
    return n_passed, max(n_failed + n_errors, int(status != 0))


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
