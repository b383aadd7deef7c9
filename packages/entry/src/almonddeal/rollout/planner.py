"""Planner of rollout steps, from the state of the targets to that of the document.

Steps are computed only from the document and the observed state, so that a new leader
continues a rollout without losing a step. It may repeat one, which has no lasting
effect.
"""

LOAD = "load"
UNLOAD = "unload"
ROLE = "role"


class Step:
    """One order to one target."""

    __slots__ = ("kind", "model", "role", "target", "version")

    def __init__(self, kind, target, model="", version="", role=""):
        self.kind = kind
        self.target = target
        self.model = model
        self.version = version
        self.role = role

    def __eq__(self, other):
        return isinstance(other, Step) and self._fields() == other._fields()

    def __hash__(self):
        return hash(self._fields())

    def _fields(self):
        return self.kind, self.target, self.model, self.version, self.role

    def __repr__(self):
        return f"Step{self._fields()}"

    def __str__(self):
        if self.kind == ROLE:
            return f"give {self.target} the role {self.role}"
        return f"{self.kind} {self.model} {self.version} on {self.target}"


class Pause:
    """Returned in place of steps if none may be executed now, with the reason."""

    __slots__ = ("reason",)

    def __init__(self, reason):
        self.reason = reason

    def __repr__(self):
        return f"Pause({self.reason!r})"


class ObservedEngine:
    """State of one engine, as observed now.

    Attributes
    ----------
    name : str
    is_live : bool
    labels : dict
    loaded : set of (str, str)
        Pairs of model and version.
    role : str
    n_slots, n_running, n_in_flight : int
    """

    __slots__ = (
        "is_live",
        "labels",
        "loaded",
        "n_in_flight",
        "n_running",
        "n_slots",
        "name",
        "role",
    )

    def __init__(
        self, name, is_live, labels, loaded, role, n_slots, n_running, n_in_flight
    ):
        self.name = name
        self.is_live = is_live
        self.labels = labels
        self.loaded = set(loaded)
        self.role = role
        self.n_slots = n_slots
        self.n_running = n_running
        self.n_in_flight = n_in_flight

    def copy(self):
        """Return a copy, for a simulation to modify."""
        return ObservedEngine(
            self.name,
            self.is_live,
            self.labels,
            self.loaded,
            self.role,
            self.n_slots,
            self.n_running,
            self.n_in_flight,
        )


def observe_engine(target):
    """Return the observed state of a `Target` of the directory."""
    state = target.state
    return ObservedEngine(
        target.name,
        target.is_live,
        state.labels,
        {(m.model, m.version) for m in state.models},
        state.role or "",
        state.load.n_slots,
        state.load.n_running,
        state.n_in_flight,
    )


def role_change_target(document, engines):
    """Return the name of the engine whose role changes next, or None.

    One engine changes at a time; it gets no new work until it has its role.
    """
    mismatched = [
        engine.name
        for engine in engines
        if engine.is_live
        and engine.name in document.role_by_target
        and engine.role != document.role_by_target[engine.name]
    ]
    return min(mismatched, default=None)


def next_steps(document, engines, versions_in_use, busy_targets=frozenset()):
    """Return the steps that may be executed now, or a `Pause`.

    Parameters
    ----------
    document : FleetDocument
    engines : list of ObservedEngine
    versions_in_use : set of (str, str)
        Pairs of model and version with unfinished answers.
    busy_targets : set of str
        Targets that are executing a step.

    Returns
    -------
    steps : list of Step or Pause
        Loads, with those in progress at most `max_loads` of the document. Without
        loads, one other step if no target is busy.
    """
    steps = _load_steps(document, engines) + _role_steps(document, engines)
    steps += _unload_steps(document, engines, versions_in_use)
    steps = [step for step in steps if step.target not in busy_targets]
    if not steps:
        return []
    reason = _pause_reason(document, engines)
    if reason is not None:
        return Pause(reason)
    n_allowed_loads = document.max_loads - len(busy_targets)
    loads = [step for step in steps if step.kind == LOAD][: max(0, n_allowed_loads)]
    others = [step for step in steps if step.kind != LOAD]
    return loads or ([] if busy_targets else others[:1])


def _assigned_engines(document, model, engines):
    return [
        engine
        for engine in engines
        if engine.name not in document.leaving_targets
        and document.matches_pools(engine.labels, model.pools)
    ]


def _load_steps(document, engines):
    steps = []
    for model in document.model_by_name.values():
        for engine in _assigned_engines(document, model, engines):
            if engine.is_live and (model.name, model.version) not in engine.loaded:
                steps.append(Step(LOAD, engine.name, model.name, model.version))
    return sorted(steps, key=lambda step: (step.model, step.target))


def _role_steps(document, engines):
    name = role_change_target(document, engines)
    if name is None:
        return []
    engine = next(e for e in engines if e.name == name)
    if engine.n_in_flight:
        return []
    return [Step(ROLE, name, role=document.role_by_target[name])]


def _unload_steps(document, engines, versions_in_use):
    """Return unloads of old versions without unfinished answers."""
    steps = []
    for model in document.model_by_name.values():
        assigned = [e for e in _assigned_engines(document, model, engines) if e.is_live]
        wanted_version = (model.name, model.version)
        if not assigned or any(
            wanted_version not in engine.loaded for engine in assigned
        ):
            continue
        for engine in engines:
            for name, version in sorted(engine.loaded):
                is_old = name == model.name and version != model.version
                if engine.is_live and is_old and (name, version) not in versions_in_use:
                    steps.append(Step(UNLOAD, engine.name, name, version))
    return steps


def _pause_reason(document, engines):
    """Return why steps must wait, or None.

    They wait while an engine is unreachable, and while the loss of one engine would
    leave too few slots for the current runs.
    """
    for model in document.model_by_name.values():
        assigned = _assigned_engines(document, model, engines)
        unreachable = sorted(e.name for e in assigned if not e.is_live)
        if unreachable:
            return f"{', '.join(unreachable)} cannot be reached"
        if len(assigned) < 2:
            continue
        n_slots = [e.n_slots for e in assigned]
        n_running = sum(e.n_running for e in assigned)
        if n_running > sum(n_slots) - max(n_slots):
            return f"{model.name} could not bear the loss of one more engine"
    return None


def version_for_new_requests(document, model, engines):
    """Return the version of a model for new requests.

    This is the version of the document once the fraction `min_ready` of the engines has
    loaded it, until then the version that most engines have.
    """
    assigned = [e for e in _assigned_engines(document, model, engines) if e.is_live]
    n_ready = sum((model.name, model.version) in e.loaded for e in assigned)
    if n_ready >= max(1, model.min_ready * len(assigned)):
        return model.version
    n_by_version = {}
    for engine in assigned:
        for name, version in engine.loaded:
            if name == model.name:
                n_by_version[version] = n_by_version.get(version, 0) + 1
    if not n_by_version:
        return model.version
    return max(n_by_version, key=lambda version: (n_by_version[version], version))


class PlannedStep:
    """A step of a plan, with the slots available while it is executed."""

    __slots__ = ("n_slots_left", "step")

    def __init__(self, step, n_slots_left):
        self.step = step
        self.n_slots_left = n_slots_left


def simulate_rollout(document, engines, max_steps=10_000):
    """Return the steps of a rollout from now to its end, as a list of `PlannedStep`.

    Assumes that all unfinished answers have ended and that unreachable engines remain
    unreachable.
    """
    engines = [engine.copy() for engine in engines if engine.is_live]
    engine_by_name = {engine.name: engine for engine in engines}
    for engine in engines:
        engine.n_running = engine.n_in_flight = 0
    planned = []
    while len(planned) < max_steps:
        steps = next_steps(document, engines, set())
        if isinstance(steps, Pause) or not steps:
            return planned
        for step in steps:
            planned.append(
                PlannedStep(step, _slots_left_during(document, engines, step))
            )
            _apply_step(engine_by_name[step.target], step)
    return planned


def _slots_left_during(document, engines, step):
    remaining = [e for e in engines if e.name not in document.leaving_targets]
    if step.kind == ROLE:
        remaining = [e for e in remaining if e.name != step.target]
    return sum(engine.n_slots for engine in remaining)


def _apply_step(engine, step):
    if step.kind == LOAD:
        engine.loaded.add((step.model, step.version))
    elif step.kind == UNLOAD:
        engine.loaded.discard((step.model, step.version))
    else:
        engine.role = step.role
