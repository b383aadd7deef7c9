"""State and collaborators shared by all requests of an instance."""

import random

from almonddeal.limits.budget import RetryBudget
from almonddeal.relay.admission_queue import AdmissionQueue
from almonddeal.relay.choose import Choices
from almonddeal_common.clock import monotonic_ms

OWN_RATIO_SHARE = 0.6  # of the retry ratio; the rest covers uneven traffic shares
MIN_INSTANCES = 6  # assumed to share the retry slack while fewer are known


class TargetCalls:
    """Client for requests to targets, as async functions.

    Parameters
    ----------
    open : callable
        ``open(attempt)`` sends a request; an async context manager that yields a
        `TargetAnswer`. Raises `NOT_REACHED` if nothing was sent, or `LINK_LOST`.
    is_alive : callable
        ``is_alive(target)`` probes an announced target; returns whether it responds.
    send_copy : callable
        ``send_copy(target, request_id, address)`` has an engine transfer the KV cache
        of a run to the engine at an address; returns the id of the copy, or None.
    free_copy : callable
        ``free_copy(target, copy_id)`` frees such a copy.
    list_cached : callable
        ``list_cached(target)`` returns the ids of the prompt segments in the prefix
        cache of an engine, as a set; empty if the query fails.
    """

    __slots__ = ("free_copy", "is_alive", "list_cached", "open", "send_copy")

    def __init__(self, open, is_alive, send_copy, free_copy, list_cached):
        self.open = open
        self.is_alive = is_alive
        self.send_copy = send_copy
        self.free_copy = free_copy
        self.list_cached = list_cached


class RelayParts:
    """State and collaborators that all requests of an instance share.

    Parameters
    ----------
    instance : str
    domain : str
        Failure domain of this instance.
    targets : TargetBook
    loads : LoadView
    runs : Board
        Reports of this instance's runs, published to the other instances.
    client : TargetCalls
    retry_limits : RetryLimits
    metrics : RelayMetrics
    selection_policy : Choices, optional
        Replaces the default selection of targets, for experiments.

    Attributes
    ----------
    version : int
        Version of the routing table, for log lines.
    """

    def __init__(
        self,
        instance,
        domain,
        targets,
        loads,
        runs,
        client,
        retry_limits,
        metrics,
        selection_policy=None,
    ):
        self.instance = instance
        self.domain = domain
        self.targets = targets
        self.loads = loads
        self.runs = runs
        self.open = client.open
        self.is_alive = client.is_alive
        self.send_copy = client.send_copy
        self.free_copy = client.free_copy
        self.list_cached = client.list_cached
        self.metrics = metrics
        self.selection_policy = selection_policy or Choices()
        self.version = 0
        self._started_ms = monotonic_ms()
        self._retry_limits = retry_limits
        self._budget_by_service = {}
        self._admission_queue_by_service = {}

    @property
    def uptime_ms(self):
        """Time in ms since this process started."""
        return monotonic_ms() - self._started_ms

    def budget(self, service_name):
        """Return the retry budget of a service on this instance."""
        budget = self._budget_by_service.get(service_name)
        if budget is None:
            slack = self._slack_share()
            ratio = self._retry_limits.ratio * OWN_RATIO_SHARE
            budget = RetryBudget(ratio, slack, slack)
            self._budget_by_service[service_name] = budget
        return budget

    def admission_queue(self, service_name):
        """Return the queue of requests that wait for engines of a service."""
        return self._admission_queue_by_service.setdefault(
            service_name, AdmissionQueue()
        )

    def choose_engine(self, engines, admitted, n_tokens):
        """Return the engine for a request, or None if none has capacity."""
        return self.selection_policy.engine(
            engines,
            self.loads,
            n_tokens,
            admitted.service.engine,
            self.domain,
            random.random,
        )

    def _slack_share(self):
        n_instances = max(MIN_INSTANCES, self.loads.n_instances)
        return self._retry_limits.slack / n_instances

    def adjust_budgets(self):
        """Divide the retry slack by the number of instances that are known now."""
        for budget in self._budget_by_service.values():
            budget.set_max_balance(self._slack_share())

    def take_remote_run(self, run):
        """Apply a run report of another instance.

        The target from which that instance moved a run becomes suspected.
        """
        abandoned = self.loads.abandoned_target(run)
        self._merge_run(run)
        if abandoned is not None:
            self.targets.suspect(*abandoned)

    def report(self, run):
        """Apply a report of an own run and publish it to the other instances."""
        self._merge_run(run)
        self.runs.put(run.request, run)

    def _merge_run(self, run):
        self.loads.take(run)
        if run.is_ended:
            for queue in self._admission_queue_by_service.values():
                queue.wake()
