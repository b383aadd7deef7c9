"""What to do next so that targets come to have what the document says.

Everything is worked out from the document and from what is observed now, so any leader
can go on where another one stopped, and no step is lost or done twice for good.
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
    """No step may be taken now, for a reason."""

    __slots__ = ("reason",)

    def __init__(self, reason):
        self.reason = reason

    def __repr__(self):
        return f"Pause({self.reason!r})"


class ObservedEngine:
    """What is known of one engine.

    Attributes
    ----------
    name : str
    is_live : bool
    labels : dict
    loaded : set of (str, str)
        Models and versions.
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
        """Return a copy that a simulation may change."""
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
    """Return what a `Target` of the directory says of itself."""
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
    """Return the name of the engine whose role is to change next, or None.

    It takes no new work until it has its role. One engine at a time changes.
    """
    wrong = [
        engine.name
        for engine in engines
        if engine.is_live
        and engine.name in document.role_by_target
        and engine.role != document.role_by_target[engine.name]
    ]
    return min(wrong, default=None)


def next_steps(document, engines, in_use, busy=frozenset()):
    """Return the steps that may be taken now, or a `Pause`.

    Parameters
    ----------
    document : FleetDocument
    engines : list of ObservedEngine
    in_use : set of (str, str)
        Models and versions with unfinished answers.
    busy : set of str
        Targets that carry out a step already.

    Returns
    -------
    steps : list of Step or Pause
        At most as many loads as the weight store bears at once.
    """
    wanted = _wanted_loads(document, engines) + _role_steps(document, engines)
    wanted += _unloads(document, engines, in_use)
    wanted = [step for step in wanted if step.target not in busy]
    if not wanted:
        return []
    reason = _unhealthy(document, engines)
    if reason is not None:
        return Pause(reason)
    n_free = document.max_loads - len(busy)
    loads = [step for step in wanted if step.kind == LOAD][: max(0, n_free)]
    others = [step for step in wanted if step.kind != LOAD]
    return loads or ([] if busy else others[:1])


def _serving(document, model, engines):
    return [
        engine
        for engine in engines
        if engine.name not in document.leaving
        and document.matches_pools(engine.labels, model.pools)
    ]


def _wanted_loads(document, engines):
    steps = []
    for model in document.model_by_name.values():
        for engine in _serving(document, model, engines):
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


def _unloads(document, engines, in_use):
    """Return unloads of versions that no unfinished answer needs any more."""
    steps = []
    for model in document.model_by_name.values():
        serving = [e for e in _serving(document, model, engines) if e.is_live]
        wanted = (model.name, model.version)
        if not serving or any(wanted not in engine.loaded for engine in serving):
            continue
        for engine in engines:
            for name, version in sorted(engine.loaded):
                is_old = name == model.name and version != model.version
                if engine.is_live and is_old and (name, version) not in in_use:
                    steps.append(Step(UNLOAD, engine.name, name, version))
    return steps


def _unhealthy(document, engines):
    """Return why the fleet could not bear the loss of one more engine, or None."""
    for model in document.model_by_name.values():
        serving = _serving(document, model, engines)
        away = sorted(e.name for e in serving if not e.is_live)
        if away:
            return f"{', '.join(away)} cannot be reached"
        if len(serving) < 2:
            continue
        n_slots = [e.n_slots for e in serving]
        n_running = sum(e.n_running for e in serving)
        if n_running > sum(n_slots) - max(n_slots):
            return f"{model.name} could not bear the loss of one more engine"
    return None


def version_for_new_requests(document, model, engines):
    """Return the version that a new answer of a model uses.

    The document's version takes over once a share of the engines has it; until then
    the version that most engines have goes on.
    """
    serving = [e for e in _serving(document, model, engines) if e.is_live]
    n_ready = sum((model.name, model.version) in e.loaded for e in serving)
    if n_ready >= max(1, model.min_ready * len(serving)):
        return model.version
    n_by_version = {}
    for engine in serving:
        for name, version in engine.loaded:
            if name == model.name:
                n_by_version[version] = n_by_version.get(version, 0) + 1
    if not n_by_version:
        return model.version
    return max(n_by_version, key=lambda version: (n_by_version[version], version))


class PlannedStep:
    """A step of a plan with the capacity that is left while it is taken."""

    __slots__ = ("n_slots_left", "step")

    def __init__(self, step, n_slots_left):
        self.step = step
        self.n_slots_left = n_slots_left


def simulate_rollout(document, engines, max_steps=10_000):
    """Return the steps from now to the end as a list of `PlannedStep`.

    Unfinished answers are taken to have ended, and engines that cannot be reached to
    stay away.
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
            planned.append(PlannedStep(step, _slots_left(document, engines, step)))
            _take(engine_by_name[step.target], step)
    return planned


def _slots_left(document, engines, step):
    stays = [e for e in engines if e.name not in document.leaving]
    if step.kind == ROLE:
        stays = [e for e in stays if e.name != step.target]
    return sum(engine.n_slots for engine in stays)


def _take(engine, step):
    if step.kind == LOAD:
        engine.loaded.add((step.model, step.version))
    elif step.kind == UNLOAD:
        engine.loaded.discard((step.model, step.version))
    else:
        engine.role = step.role
