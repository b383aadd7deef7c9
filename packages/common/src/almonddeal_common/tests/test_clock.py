"""Tests that no decision rests on the time of day."""

import ast
from pathlib import Path

import almonddeal
import almonddeal_agent
import almonddeal_common

PACKAGES = (almonddeal, almonddeal_agent, almonddeal_common)
# Where the time of day may be read: the clock for people, stamps of lines and reports,
# and ids of processes that are only compared for being equal, or give way when silent.
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


def sources():
    """Return the paths of the product's source files, with the package's folder."""
    return [
        (path, Path(package.__file__).parents[1])
        for package in PACKAGES
        for path in Path(package.__file__).parent.rglob("*.py")
        if not {"tests", "gen"} & set(path.parts)
    ]


def wall_clock_uses(tree):
    """Return the names of the calls that read the time of day, as a list."""
    return [
        node.attr
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute)
        and node.attr in WALL_CLOCK_NAMES
        and isinstance(node.value, ast.Name)
        and node.value.id in MODULES
    ]


def imported_from_time(tree):
    """Return what modules import from ``time`` by name, as a list."""
    return [
        alias.name
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom) and node.module == "time"
        for alias in node.names
    ]


class TestTimeOfDay:
    def test_check_finds_uses(self):
        tree = ast.parse("import time\nx = time.time()\ny = time.monotonic()")
        assert wall_clock_uses(tree) == ["time"]
        assert imported_from_time(ast.parse("from time import time")) == ["time"]

    def test_it_is_read_only_where_nothing_rests_on_it(self):
        found = set()
        for path, root in sources():
            tree = ast.parse(path.read_text())
            assert "time" not in imported_from_time(tree)
            name = str(path.relative_to(root))
            found.update((name, use) for use in wall_clock_uses(tree))
        assert len(sources()) > 100
        assert found == ALLOWED
