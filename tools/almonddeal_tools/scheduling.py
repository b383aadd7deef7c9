"""Pytest plugin that distributes tests over the workers of pytest-xdist.

Tests that share addresses run in sequence on one worker: those of a class that
shares a fleet of processes, and those of a module that shares a port. All others are
distributed one by one.
"""

from xdist.scheduler import LoadScopeScheduling

MODULES_WITH_A_FLEET_BY_CLASS = ("test_recovery.py", "test_serving.py")
MODULES_WITH_A_PORT = (
    "test_connections.py",
    "test_faulty_targets.py",
    "test_follower.py",
    "test_http.py",
)


def scope_of(nodeid):
    """Return the name of the group with which a test runs, from its node id."""
    path, *parts = nodeid.partition("[")[0].split("::")
    module = path.rpartition("/")[2]
    if module in MODULES_WITH_A_PORT:
        return path
    if module in MODULES_WITH_A_FLEET_BY_CLASS:
        return "::".join((path, *parts[:-1]))
    return nodeid


class SharedAddressScheduling(LoadScopeScheduling):
    """Scheduler that keeps tests with shared addresses together."""

    def _split_scope(self, nodeid):
        return scope_of(nodeid)


def pytest_xdist_make_scheduler(config, log):
    """Return the scheduler; a hook of pytest-xdist."""
    return SharedAddressScheduling(config, log)
