"""Settings of a role, as its composition needs them."""


class RetryLimits:
    """Bounds on sends beyond the first, over all instances.

    Parameters
    ----------
    ratio : float
        Further sends for each request to a service.
    window_s : float
        Time over which both are counted.
    slack : float
        Further sends that are always allowed.
    """

    __slots__ = ("ratio", "slack", "window_s")

    def __init__(self, ratio, window_s, slack):
        self.ratio = ratio
        self.window_s = window_s
        self.slack = slack


class RoleSettings:
    """What a process is told of itself and of others.

    Parameters
    ----------
    instance : str
    failure_domain : str
    link_address : Address
        Where other processes of the system reach this one.
    seed_addresses : list of str
        Link addresses of some control instances; they may be out of date.
    callers : Address or None
    readiness : Address or None
    control : Address or None
        Where targets and operators call.
    metrics : Address or None
    data_folder : str or None
    is_bootstrap : bool
        Whether the whole system starts for the first time.
    stop_timeout_s : float
        Time from SIGTERM to the end of the process.
    retry_limits : RetryLimits
    """

    __slots__ = (
        "callers",
        "control",
        "data_folder",
        "failure_domain",
        "instance",
        "is_bootstrap",
        "link_address",
        "metrics",
        "readiness",
        "retry_limits",
        "seed_addresses",
        "stop_timeout_s",
    )

    def __init__(
        self,
        instance,
        failure_domain,
        link_address,
        seed_addresses,
        callers,
        readiness,
        control,
        metrics,
        data_folder,
        is_bootstrap,
        stop_timeout_s,
        retry_limits,
    ):
        self.instance = instance
        self.failure_domain = failure_domain
        self.link_address = link_address
        self.seed_addresses = seed_addresses
        self.callers = callers
        self.readiness = readiness
        self.control = control
        self.metrics = metrics
        self.data_folder = data_folder
        self.is_bootstrap = is_bootstrap
        self.stop_timeout_s = stop_timeout_s
        self.retry_limits = retry_limits
