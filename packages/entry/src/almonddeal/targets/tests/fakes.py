"""Factories of targets for tests."""

from almonddeal.targets.directory import Target
from almonddeal_common.wire.gen.ttypes import Load, ModelState, TargetState


def make_state(name="a", n_running=0, n_slots=10, sequence=1, incarnation=1, **more):
    """Return a `TargetState`; `more` replaces any of its fields."""
    fields = {
        "target": name,
        "instance": f"agent-{name}",
        "incarnation": incarnation,
        "failure_domain": "fd1",
        "host": "127.0.0.1",
        "port": 1,
        "kind": "engine",
        "service_name": "",
        "labels": {},
        "models": [ModelState("draft", "v1", [])],
        "load": Load(n_running, 0, n_slots, 0, 5.0, 0),
        "stopping": False,
        "sequence": sequence,
        "document_version": 1,
        "n_in_flight": n_running,
    }
    return TargetState(**{**fields, **more})


def make_target(name="a", **more):
    """Return a `Target` that announced itself just now."""
    return Target(make_state(name, **more))
