"""The fleet document as plain classes, made from JSON that passed validation."""

MIN_READY = 0.5
LEASE_MS = 3000
MAX_LOADS = 1


class Limits:
    """Limits of one customer, in requests a second and streams in flight."""

    __slots__ = ("burst", "max_streams", "priority", "requests_per_s")

    def __init__(self, requests_per_s=50.0, burst=100, max_streams=200, priority=5):
        self.requests_per_s = requests_per_s
        self.burst = burst
        self.max_streams = max_streams
        self.priority = priority


class ResumePolicy:
    """How answers of one customer are kept and resumed."""

    __slots__ = (
        "copies",
        "disconnect_grace_ms",
        "first_token_ms",
        "keep_s",
        "mode",
        "resume_deadline_ms",
    )

    def __init__(
        self,
        mode="plain",
        copies=2,
        disconnect_grace_ms=500,
        keep_s=600,
        first_token_ms=30_000,
        resume_deadline_ms=60_000,
    ):
        self.mode = mode
        self.copies = copies
        self.disconnect_grace_ms = disconnect_grace_ms
        self.keep_s = keep_s
        self.first_token_ms = first_token_ms
        self.resume_deadline_ms = resume_deadline_ms


class Customer:
    """One customer: keys, what it may use, limits and resume policy."""

    __slots__ = (
        "key_hashes",
        "limits",
        "models",
        "name",
        "resume",
        "services",
        "weight",
    )

    def __init__(self, name, raw):
        self.name = name
        self.key_hashes = frozenset(raw["key_sha256"])
        self.models = frozenset(raw.get("models", ()))
        self.services = frozenset(raw.get("services", ()))
        self.weight = raw.get("weight", 1.0)
        self.limits = Limits(**raw.get("limits", {}))
        self.resume = ResumePolicy(**raw.get("resume", {}))


class Model:
    """One model: the version to run, and the pools that serve it.

    Attributes
    ----------
    min_ready : float
        Share of the engines that must have the version before new answers use it.
    """

    __slots__ = ("min_ready", "name", "pools", "version")

    def __init__(self, name, raw):
        self.name = name
        self.min_ready = raw.get("min_ready", MIN_READY)
        self.version = raw["version"]
        self.pools = tuple(raw.get("pools", ()))


class Service:
    """One plain service. Calls that are no declared lookup are orders."""

    __slots__ = ("lookups", "name", "pools", "timeout_ms")

    def __init__(self, name, raw):
        self.name = name
        self.pools = tuple(raw.get("pools", ()))
        self.timeout_ms = raw.get("timeout_ms", 10_000)
        self.lookups = tuple(
            (rule["method"], rule["path_prefix"]) for rule in raw.get("lookups", ())
        )

    def is_lookup(self, method, path):
        """Tell whether a call was declared free of effects."""
        return any(
            method == allowed and path_is_below(path, prefix)
            for allowed, prefix in self.lookups
        )


def path_is_below(path, prefix):
    """Tell whether `path` is `prefix` or lies below it, whole segments only."""
    stem = prefix.rstrip("/")
    return path == stem or path.startswith(stem + "/")


class FleetDocument:
    """One accepted document with its version.

    Parameters
    ----------
    version : int
        Number of the accepted change; 0 before the first one.
    raw : dict
        The JSON, already validated.
    previous : FleetDocument, optional
        Document whose customers are taken over where their JSON is the same object.
    """

    __slots__ = (
        "control",
        "customer_by_key_hash",
        "customer_by_name",
        "leaving",
        "model_by_name",
        "pool_by_name",
        "raw",
        "role_by_target",
        "service_by_name",
        "version",
    )

    def __init__(self, version, raw, previous=None):
        self.version = version
        self.raw = raw
        self.customer_by_name = _build_customers(raw.get("customers", {}), previous)
        self.customer_by_key_hash = {
            key: customer
            for customer in self.customer_by_name.values()
            for key in customer.key_hashes
        }
        self.model_by_name = _build(Model, raw.get("models", {}))
        self.service_by_name = _build(Service, raw.get("services", {}))
        self.pool_by_name = {
            name: pool["labels"] for name, pool in raw.get("pools", {}).items()
        }
        self.leaving = frozenset(raw.get("leaving", ()))
        self.role_by_target = raw.get("roles", {})
        self.control = raw.get("control", {})

    @property
    def lease_ms(self):
        """Time in ms for which a target may take work without news of control."""
        return self.control.get("lease_ms", LEASE_MS)

    @property
    def max_loads(self):
        """Number of loads that the weight store bears at once."""
        return self.control.get("max_loads", MAX_LOADS)

    @property
    def serves_without_control(self):
        """Whether targets go on taking work when their lease has run out."""
        return self.control.get("without_control") == "serve"

    def matches_pools(self, labels, pools):
        """Tell whether a target's labels match one of the pools; no pools match all."""
        if not pools:
            return True
        return any(
            self.pool_by_name[name].items() <= labels.items()
            for name in pools
            if name in self.pool_by_name
        )


def _build_customers(raw_by_name, previous):
    if previous is None:
        return _build(Customer, raw_by_name)
    known_raw = previous.raw.get("customers", {})
    known = previous.customer_by_name
    return {
        name: known[name] if known_raw.get(name) is raw else Customer(name, raw)
        for name, raw in raw_by_name.items()
    }


def _build(type_, raw_by_name):
    return {name: type_(name, raw) for name, raw in raw_by_name.items()}


EMPTY_DOCUMENT = FleetDocument(0, {})
