"""What serving a request needs of its instance."""

import random

from almonddeal.limits.budget import RetryBudget
from almonddeal.relay.admission_queue import AdmissionQueue
from almonddeal.relay.choose import Choices
from almonddeal_common.clock import monotonic_ms

OWN_RATIO_SHARE = 0.6  # of the allowed ratio; the rest covers uneven shares of traffic
INSTANCES_ASSUMED = 6  # that share the slack, while fewer are known


class TargetCalls:
    """What can be asked of targets, as functions.

    Parameters
    ----------
    open : callable
        ``open(attempt)`` sends it; an async context manager that gives a
        `TargetAnswer`, or raises `NOT_REACHED` if nothing was sent, or `LINK_LOST`.
    is_alive : callable
        ``is_alive(target)`` asks an announced target for a sign of life.
    send_copy : callable
        ``send_copy(target, request_id, address)`` has an engine send the memory of a
        run to the one at an address; returns the id of the copy, or None.
    free_copy : callable
        ``free_copy(target, copy_id)`` frees such a copy.
    list_cached : callable
        ``list_cached(target)`` returns the ids of the parts of prompts that an engine
        keeps, as a set; empty if it cannot be asked.
    """

    __slots__ = ("free_copy", "is_alive", "list_cached", "open", "send_copy")

    def __init__(self, open, is_alive, send_copy, free_copy, list_cached):
        self.open = open
        self.is_alive = is_alive
        self.send_copy = send_copy
        self.free_copy = free_copy
        self.list_cached = list_cached


class RelayParts:
    """Parts that all requests of an instance share.

    Parameters
    ----------
    instance : str
    domain : str
        Failure domain of this instance.
    targets : TargetBook
    loads : LoadView
    runs : Board
        Own runs, as other instances hear of them.
    calls : TargetCalls
    retry_limits : RetryLimits
    metrics : RelayMetrics
    choices : Choices, optional
        In place of the usual ones, for experiments.
    """

    def __init__(
        self,
        instance,
        domain,
        targets,
        loads,
        runs,
        calls,
        retry_limits,
        metrics,
        choices=None,
    ):
        self.instance = instance
        self.domain = domain
        self.targets = targets
        self.loads = loads
        self.runs = runs
        self.open = calls.open
        self.is_alive = calls.is_alive
        self.send_copy = calls.send_copy
        self.free_copy = calls.free_copy
        self.list_cached = calls.list_cached
        self.metrics = metrics
        self.choices = choices or Choices()
        self.version = 0
        self._started_ms = monotonic_ms()
        self._retry_limits = retry_limits
        self._budget_by_service = {}
        self._admission_queue_by_service = {}

    @property
    def age_ms(self):
        """Time in ms since this process started."""
        return monotonic_ms() - self._started_ms

    def budget(self, service_name):
        """Return this instance's share of the retry budget of a service."""
        budget = self._budget_by_service.get(service_name)
        if budget is None:
            share = self._slack_share()
            ratio = self._retry_limits.ratio * OWN_RATIO_SHARE
            budget = RetryBudget(ratio, share, share)
            self._budget_by_service[service_name] = budget
        return budget

    def admission_queue(self, service_name):
        """Return the queue of answers for engines of a service."""
        return self._admission_queue_by_service.setdefault(
            service_name, AdmissionQueue()
        )

    def choose_engine(self, states, admitted, n_tokens):
        """Return the state of the engine for an answer, or None."""
        return self.choices.engine(
            states,
            self.loads,
            n_tokens,
            admitted.service.engine,
            self.domain,
            random.random,
        )

    def _slack_share(self):
        n_instances = max(INSTANCES_ASSUMED, self.loads.n_instances)
        return self._retry_limits.slack / n_instances

    def adjust_budgets(self):
        """Fit this instance's share of the slack to the number of instances seen."""
        for budget in self._budget_by_service.values():
            budget.limit(self._slack_share())

    def take_remote_run(self, run):
        """Take what another instance says of a run."""
        left = self.loads.left_target(run)
        self._take_run(run)
        if left is not None:
            self.targets.suspect(*left)

    def report(self, run):
        """Note a change of an own run here and for all other instances."""
        self._take_run(run)
        self.runs.put(run.request, run)

    def _take_run(self, run):
        self.loads.take(run)
        if run.is_ended:
            for queue in self._admission_queue_by_service.values():
                queue.wake()
