"""Routing table of a published configuration: routes, services, customers, limits."""

import random

from almonddeal_common.codes import DOCUMENT_INVALID, AlmonddealError

LOOKUP = "lookup"
ORDER = "order"
STREAM = "stream"
KINDS = frozenset((LOOKUP, ORDER, STREAM))


def _configuration_error(detail):
    return AlmonddealError(DOCUMENT_INVALID, detail)


class Route:
    """Requests to one host and path prefix, and how they are served.

    Parameters
    ----------
    name : str
    host : str
        In lower case, without a port.
    prefix : str
        Starts and ends with a slash.
    kind : {"lookup", "order", "stream"}
        Lookups may be retried, orders run at most once, streams respond with
        server-sent events.
    timeout_ms : float
        Time from the arrival of a request to its deadline.
    objective_ms : float
        Latency objective: time to the response, or to the first event of a stream.
    priority : int
        0 is the most urgent.
    weight_by_service : dict of str to float
    max_attempts : int
        Most attempts of one request. Those that reached no target do not count, nor,
        for a stream, do those that were refused.
    is_public : bool
        Whether requests need no API key.
    is_resumable : bool
        Whether a stream may resume at another target.
    max_gap_ms : float
        Longest pause between events that callers accept.
    """

    __slots__ = (
        "host",
        "is_public",
        "is_resumable",
        "kind",
        "max_attempts",
        "max_gap_ms",
        "name",
        "objective_ms",
        "prefix",
        "priority",
        "timeout_ms",
        "weight_by_service",
    )

    def __init__(
        self,
        name,
        host,
        prefix,
        kind,
        timeout_ms,
        objective_ms,
        priority,
        weight_by_service,
        max_attempts,
        is_public,
        is_resumable,
        max_gap_ms,
    ):
        self.name = name
        self.host = host
        self.prefix = prefix
        self.kind = kind
        self.timeout_ms = timeout_ms
        self.objective_ms = objective_ms
        self.priority = priority
        self.weight_by_service = weight_by_service
        self.max_attempts = max_attempts
        self.is_public = is_public
        self.is_resumable = is_resumable
        self.max_gap_ms = max_gap_ms

    def __repr__(self):
        return f"Route({self.name!r}, {self.host!r}, {self.prefix!r})"

    @property
    def may_run_again(self):
        """Whether a request may be executed again after it may have run."""
        return self.kind == LOOKUP or (self.kind == STREAM and self.is_resumable)

    def pick_service_name(self, random_value):
        """Return the name of a service drawn by weight, for a number from 0 to 1."""
        remaining = random_value * sum(self.weight_by_service.values())
        for name, weight in self.weight_by_service.items():
            remaining -= weight
            if weight > 0 and remaining <= 0:
                return name
        return max(self.weight_by_service, key=self.weight_by_service.get)


class EngineTraits:
    """Properties of the inference engines of a service.

    Parameters
    ----------
    n_slots : int
        Requests that one engine runs concurrently.
    n_cache_tokens : int
        KV-cache capacity of one engine, in tokens of prompts and output.
    replicates_kv_cache : bool
        Whether an engine can replicate the KV cache of a run to another engine.
    tokens_per_event : int
    copy_lifetime_ms : float
        How long a KV-cache copy is retained after its run was lost.
    """

    __slots__ = (
        "copy_lifetime_ms",
        "replicates_kv_cache",
        "n_cache_tokens",
        "n_slots",
        "tokens_per_event",
    )

    def __init__(
        self,
        n_slots,
        n_cache_tokens,
        replicates_kv_cache,
        tokens_per_event,
        copy_lifetime_ms,
    ):
        self.n_slots = n_slots
        self.n_cache_tokens = n_cache_tokens
        self.replicates_kv_cache = replicates_kv_cache
        self.tokens_per_event = tokens_per_event
        self.copy_lifetime_ms = copy_lifetime_ms


class Service:
    """A set of interchangeable targets.

    Parameters
    ----------
    name : str
    engine : EngineTraits or None
        None for a plain service.
    """

    __slots__ = ("engine", "name")

    def __init__(self, name, engine):
        self.name = name
        self.engine = engine


class Customer:
    """A customer, identified by any of its API keys."""

    __slots__ = ("keys", "name", "priority")

    def __init__(self, name, keys, priority):
        self.name = name
        self.keys = keys
        self.priority = priority


class RequestLimits:
    """Limits on the requests of callers.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Size limits of the request line with the headers, and of the body.
    header_timeout_ms : float
        Longest time to receive the request line and the headers.
    idle_timeout_ms : float
        Keep-alive timeout of an idle connection.
    """

    __slots__ = (
        "header_timeout_ms",
        "idle_timeout_ms",
        "max_body_bytes",
        "max_header_bytes",
    )

    def __init__(
        self, max_header_bytes, max_body_bytes, header_timeout_ms, idle_timeout_ms
    ):
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_ms = header_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms


class RoutingTable:
    """One version of the published configuration, validated on construction.

    Parameters
    ----------
    version : int
    routes : list of Route
    services : list of Service
    customers : list of Customer or None
        None if requests need no API keys.
    limits : RequestLimits

    Raises
    ------
    AlmonddealError
        `DOCUMENT_INVALID` with the reason.
    """

    def __init__(self, version, routes, services, customers, limits):
        self.version = version
        self.limits = limits
        self.service_by_name = {service.name: service for service in services}
        self.needs_keys = customers is not None
        self.customer_by_key = _customers_by_key(customers or [])
        route_by_prefix_by_host = {}
        for route in routes:
            self._check_route(route)
            route_by_prefix = route_by_prefix_by_host.setdefault(route.host, {})
            if route.prefix in route_by_prefix:
                raise _configuration_error(f"two routes at {route.host}{route.prefix}")
            route_by_prefix[route.prefix] = route
        self._routes_by_host = {
            host: sorted(by_prefix.values(), key=lambda route: -len(route.prefix))
            for host, by_prefix in route_by_prefix_by_host.items()
        }

    def _check_route(self, route):
        for name, weight in route.weight_by_service.items():
            if name not in self.service_by_name:
                raise _configuration_error(
                    f"route {route.name} names the unknown service {name}"
                )
            if weight < 0:
                raise _configuration_error(f"route {route.name} has a negative weight")
        if sum(route.weight_by_service.values()) <= 0:
            raise _configuration_error(f"the weights of route {route.name} add up to 0")
        if route.timeout_ms <= 0:
            raise _configuration_error(f"route {route.name} has no time")
        if route.kind not in KINDS:
            raise _configuration_error(f"route {route.name} is of no known kind")
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            raise _configuration_error(
                f"the prefix of route {route.name} lacks a slash"
            )

    def __repr__(self):
        return f"<RoutingTable version {self.version}>"

    def find_route(self, host, path):
        """Return the route whose prefix is the longest match of a path, or None."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def pick_service(self, route, preferred_name=None):
        """Return the `Service` for one request of a route, drawn by weight.

        Parameters
        ----------
        route : Route
        preferred_name : str, optional
            Service to return instead if the route has it with a weight.
        """
        if route.weight_by_service.get(preferred_name, 0.0) > 0:
            return self.service_by_name[preferred_name]
        return self.service_by_name[route.pick_service_name(random.random())]


def _customers_by_key(customers):
    customer_by_key = {}
    for customer in customers:
        for key in customer.keys:
            if customer_by_key.setdefault(key, customer) is not customer:
                raise _configuration_error(
                    f"two customers share a key, one is {customer.name}"
                )
    return customer_by_key
