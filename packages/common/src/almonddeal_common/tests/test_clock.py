"""Tests that the wall clock is read only where permitted.

Wall-clock time can jump, so leases, timeouts and ordering must use `monotonic_ms`.
"""

import ast
from pathlib import Path

import almonddeal
import almonddeal_agent
import almonddeal_common

PACKAGES = (almonddeal, almonddeal_agent, almonddeal_common)
# Permitted uses: `wall_ms`, timestamps of log lines and reports, and incarnation
# numbers, which are only compared for equality or superseded after silence.
ALLOWED = {
    ("almonddeal_common/clock.py", "time"),
    ("almonddeal_common/logs.py", "gmtime"),
    ("almonddeal/cli/main.py", "gmtime"),
    ("almonddeal/entry_instance.py", "time_ns"),
    ("almonddeal/roles/control.py", "time_ns"),
    ("almonddeal/roles/entry.py", "time_ns"),
    ("almonddeal_agent/run.py", "time_ns"),
}
WALL_CLOCK_NAMES = {"time", "time_ns", "now", "utcnow", "today", "localtime", "gmtime"}
MODULES = {"time", "datetime", "date"}


def source_files():
    """Return (path, source root) of each file, without tests and generated code."""
    return [
        (path, Path(package.__file__).parents[1])
        for package in PACKAGES
        for path in Path(package.__file__).parent.rglob("*.py")
        if not {"tests", "gen"} & set(path.parts)
    ]


def wall_clock_uses(tree):
    """Return the names of the functions in use that read the wall clock, as a list."""
    return [
        node.attr
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute)
        and node.attr in WALL_CLOCK_NAMES
        and isinstance(node.value, ast.Name)
        and node.value.id in MODULES
    ]


def imported_from_time(tree):
    """Return the names imported with ``from time import``, as a list."""
    return [
        alias.name
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom) and node.module == "time"
        for alias in node.names
    ]


class TestWallClock:
    def test_checker_finds_uses(self):
        tree = ast.parse("import time\nx = time.time()\ny = time.monotonic()")
        assert wall_clock_uses(tree) == ["time"]
        assert imported_from_time(ast.parse("from time import time")) == ["time"]

    def test_wall_clock_is_read_only_where_permitted(self):
        found_uses = set()
        for path, root in source_files():
            tree = ast.parse(path.read_text())
            assert "time" not in imported_from_time(tree)
            name = str(path.relative_to(root))
            found_uses.update(
                (name, function_name) for function_name in wall_clock_uses(tree)
            )
        assert len(source_files()) > 100
        assert found_uses == ALLOWED
