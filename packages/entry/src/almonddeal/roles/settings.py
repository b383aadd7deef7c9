"""Settings of the entry role and the control role, independent of their file format."""


class RetryLimits:
    """Retry budget of a service, over all entry instances.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request to the service.
    window_s : float
        Time over which requests and retries are counted, in s.
    slack : float
        Retries allowed in addition to those of the ratio.
    """

    __slots__ = ("ratio", "slack", "window_s")

    def __init__(self, ratio, window_s, slack):
        self.ratio = ratio
        self.window_s = window_s
        self.slack = slack


class RoleSettings:
    """Settings of one process, for either role.

    Parameters
    ----------
    instance : str
    failure_domain : str
    link_address : Address
        Accepts links of other processes of almonddeal.
    seed_addresses : list of str
        Link addresses of some control instances, possibly outdated.
    callers : Address or None
        Serves HTTP to callers; None on a control instance.
    readiness : Address or None
        Serves HTTP to the load balancer; None on a control instance.
    control : Address or None
        Serves HTTP to targets and operators; None on an entry instance.
    metrics : Address or None
    data_folder : str or None
    is_bootstrap : bool
        Whether the system as a whole starts for the first time.
    stop_timeout_s : float
        Longest time from SIGTERM to the exit of the process, in s.
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
