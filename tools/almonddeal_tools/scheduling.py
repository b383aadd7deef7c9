"""Pytest plugin that distributes tests over the workers of pytest-xdist.

Tests that share addresses run in sequence on one worker: those of a class, or of a
module, that shares a fleet of processes, and those of modules that share a port. All
others are distributed one by one.
"""

from xdist.scheduler import LoadScopeScheduling

MODULES_WITH_A_FLEET_BY_CLASS = (
    "test_changes.py",
    "test_drain_times.py",
    "test_last_ready.py",
    "test_leaving.py",
    "test_odd_records.py",
    "test_pauses.py",
    "test_planned_work.py",
    "test_recovery.py",
    "test_serving.py",
    "test_signals_to_instances.py",
    "test_software_versions.py",
    "test_stops.py",
)
# Modules with the same group use the same port, or one fleet for all their classes.
PORT_GROUP_BY_MODULE = {
    "test_break_off.py": "break off",
    "test_broken_requests.py": "connections",
    "test_changes_beside_requests.py": "changes beside requests",
    "test_close_records.py": "closing",
    "test_closing.py": "closing",
    "test_coincidences.py": "coincidences",
    "test_connections.py": "connections",
    "test_control.py": "control instance",
    "test_exits.py": "faulty targets",
    "test_faulty_targets.py": "faulty targets",
    "test_follower.py": "follower",
    "test_follower_failures.py": "follower",
    "test_further_requests.py": "closing",
    "test_http.py": "http",
    "test_http2_connections.py": "closing",
    "test_limits.py": "connections",
    "test_request_targets.py": "request targets",
    "test_silent_member.py": "silent member",
    "test_silent_targets.py": "silent targets",
    "test_stops_beside_changes.py": "stops beside changes",
    "test_unread_requests.py": "closing",
}


def scope_of(nodeid):
    """Return the name of the group with which a test runs, from its node id."""
    path, *parts = nodeid.partition("[")[0].split("::")
    module = path.rpartition("/")[2]
    if module in PORT_GROUP_BY_MODULE:
        return PORT_GROUP_BY_MODULE[module]
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
