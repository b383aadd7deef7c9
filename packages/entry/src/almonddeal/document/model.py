"""Classes of the fleet document, built from validated JSON."""

DEFAULT_MIN_READY = 0.5
DEFAULT_LEASE_MS = 3000
DEFAULT_MAX_LOADS = 1


class Limits:
    """Limits of one customer: request rate, burst, concurrent streams and priority."""

    __slots__ = ("burst", "max_streams", "priority", "requests_per_s")

    def __init__(self, requests_per_s=50.0, burst=100, max_streams=200, priority=5):
        self.requests_per_s = requests_per_s
        self.burst = burst
        self.max_streams = max_streams
        self.priority = priority


class ResumePolicy:
    """Retention and resumption of the answers of one customer."""

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
    """One customer: hashes of its keys, allowed models and services, and policies."""

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
    """One model: the version to serve, and the pools that serve it.

    Attributes
    ----------
    min_ready : float
        Fraction of the engines that must have loaded the version before new answers
        use it.
    """

    __slots__ = ("min_ready", "name", "pools", "version")

    def __init__(self, name, raw):
        self.name = name
        self.min_ready = raw.get("min_ready", DEFAULT_MIN_READY)
        self.version = raw["version"]
        self.pools = tuple(raw.get("pools", ()))


class Service:
    """One plain service. Calls that match no rule of `lookups` are orders."""

    __slots__ = ("lookups", "name", "pools", "timeout_ms")

    def __init__(self, name, raw):
        self.name = name
        self.pools = tuple(raw.get("pools", ()))
        self.timeout_ms = raw.get("timeout_ms", 10_000)
        self.lookups = tuple(
            (rule["method"], rule["path_prefix"]) for rule in raw.get("lookups", ())
        )

    def is_lookup(self, method, path):
        """Return whether a call matches a rule of `lookups`, so has no side effects."""
        return any(
            method == allowed and path_is_below(path, prefix)
            for allowed, prefix in self.lookups
        )


def path_is_below(path, prefix):
    """Return whether `path` is `prefix` or lies below it, by whole segments."""
    stem = prefix.rstrip("/")
    return path == stem or path.startswith(stem + "/")


class FleetDocument:
    """One valid fleet document with its version.

    Parameters
    ----------
    version : int
        Incremented by each accepted change; 0 for the empty document.
    raw : dict
        Validated JSON.
    previous : FleetDocument, optional
        Document whose `Customer` objects are reused if their JSON is the same object.
    """

    __slots__ = (
        "control_settings",
        "customer_by_key_hash",
        "customer_by_name",
        "leaving_targets",
        "model_by_name",
        "labels_by_pool",
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
            key_hash: customer
            for customer in self.customer_by_name.values()
            for key_hash in customer.key_hashes
        }
        self.model_by_name = _build(Model, raw.get("models", {}))
        self.service_by_name = _build(Service, raw.get("services", {}))
        self.labels_by_pool = {
            name: pool["labels"] for name, pool in raw.get("pools", {}).items()
        }
        self.leaving_targets = frozenset(raw.get("leaving", ()))
        self.role_by_target = raw.get("roles", {})
        self.control_settings = raw.get("control", {})

    @property
    def lease_ms(self):
        """Time in ms for which a target may accept work without contact to control."""
        return self.control_settings.get("lease_ms", DEFAULT_LEASE_MS)

    @property
    def max_loads(self):
        """Maximum number of concurrent model loads from the weight store."""
        return self.control_settings.get("max_loads", DEFAULT_MAX_LOADS)

    @property
    def serves_without_control(self):
        """Whether targets accept work after their lease has expired."""
        return self.control_settings.get("without_control") == "serve"

    def matches_pools(self, labels, pools):
        """Return whether labels match one of the pools; empty `pools` match all."""
        if not pools:
            return True
        return any(
            self.labels_by_pool[name].items() <= labels.items()
            for name in pools
            if name in self.labels_by_pool
        )


def _build_customers(raw_by_name, previous):
    if previous is None:
        return _build(Customer, raw_by_name)
    previous_raw = previous.raw.get("customers", {})
    previous_customers = previous.customer_by_name
    return {
        name: previous_customers[name]
        if previous_raw.get(name) is raw
        else Customer(name, raw)
        for name, raw in raw_by_name.items()
    }


def _build(type_, raw_by_name):
    return {name: type_(name, raw) for name, raw in raw_by_name.items()}


EMPTY_DOCUMENT = FleetDocument(0, {})
