"""What serving a request needs of its instance."""

import random

from almonddeal.limits.budget import RetryBudget
from almonddeal.relay.admission_queue import AdmissionQueue
from almonddeal.relay.choose import SelectionPolicy
from almonddeal_common.clock import monotonic_ms

OWN_RATIO_SHARE = 0.6  # of the allowed ratio; the rest covers uneven shares of traffic
INSTANCES_ASSUMED = 6  # that share the slack, while fewer are known


class TargetClient:
    """What can be asked of targets, as functions.

    Parameters
    ----------
    open : callable
        ``open(attempt)`` sends it; an async context manager that gives a
        `TargetResponse`, or raises `NOT_REACHED` if nothing was sent, or `LINK_LOST`.
    is_alive : callable
        ``is_alive(target)`` asks an announced target for a sign of life.
    send_kv_copy : callable
        ``send_kv_copy(target, request_id, address)`` has an engine send the memory of a
        run to the one at an address; returns the id of the copy, or None.
    free_kv_copy : callable
        ``free_kv_copy(target, copy_id)`` frees such a copy.
    list_cached_prefixes : callable
        ``list_cached_prefixes(target)`` returns the ids of the prompt segments that an
        engine keeps, as a set; empty if it cannot be asked.
    """

    __slots__ = (
        "free_kv_copy",
        "is_alive",
        "list_cached_prefixes",
        "open",
        "send_kv_copy",
    )

    def __init__(
        self, open, is_alive, send_kv_copy, free_kv_copy, list_cached_prefixes
    ):
        self.open = open
        self.is_alive = is_alive
        self.send_kv_copy = send_kv_copy
        self.free_kv_copy = free_kv_copy
        self.list_cached_prefixes = list_cached_prefixes


class RelayContext:
    """Parts that all requests of an instance share.

    Parameters
    ----------
    instance : str
    domain : str
        Failure domain of this instance.
    targets : TargetTable
    load_view : LoadView
    runs : VersionedMap
        Own runs, as other instances hear of them.
    calls : TargetClient
    retry_limits : RetryLimits
    metrics : RelayMetrics
    choices : SelectionPolicy, optional
        In place of the usual ones, for experiments.
    """

    def __init__(
        self,
        instance,
        domain,
        targets,
        load_view,
        runs,
        calls,
        retry_limits,
        metrics,
        choices=None,
    ):
        self.instance = instance
        self.domain = domain
        self.targets = targets
        self.load_view = load_view
        self.runs = runs
        self.open = calls.open
        self.is_alive = calls.is_alive
        self.send_kv_copy = calls.send_kv_copy
        self.free_kv_copy = calls.free_kv_copy
        self.list_cached_prefixes = calls.list_cached_prefixes
        self.metrics = metrics
        self.choices = choices or SelectionPolicy()
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
            self.load_view,
            n_tokens,
            admitted.service.engine,
            self.domain,
            random.random,
        )

    def _slack_share(self):
        n_instances = max(INSTANCES_ASSUMED, self.load_view.n_instances)
        return self._retry_limits.slack / n_instances

    def rescale_retry_budgets(self):
        """Fit this instance's share of the slack to the number of instances seen."""
        for budget in self._budget_by_service.values():
            budget.limit(self._slack_share())

    def merge_remote_run(self, run):
        """Take what another instance says of a run."""
        left = self.load_view.left_target(run)
        self._take_run(run)
        if left is not None:
            self.targets.suspect(*left)

    def report(self, run):
        """Note a change of an own run here and for all other instances."""
        self._take_run(run)
        self.runs.put(run.request, run)

    def _take_run(self, run):
        self.load_view.merge(run)
        if run.is_ended:
            for queue in self._admission_queue_by_service.values():
                queue.wake()
