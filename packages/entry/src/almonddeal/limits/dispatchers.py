"""Dispatchers by model version and by service, with the targets of each."""

import random

from almonddeal.limits.dispatch import Dispatcher
from almonddeal.rollout.planner import version_for_new_requests
from almonddeal.targets.choose import two_choices, with_affinity


class Dispatchers:
    """Dispatchers by model version and by service, created on first use.

    Parameters
    ----------
    replica : DocumentReplica

    Attributes
    ----------
    directory : TargetDirectory
        Must be set before the first use.
    """

    def __init__(self, replica):
        self.directory = None
        self._replica = replica
        self._dispatcher_by_version = {}
        self._dispatcher_by_service = {}

    def dispatch_waiting(self):
        """Assign free slots to queued requests of all dispatchers."""
        for dispatcher in self._dispatcher_by_version.values():
            dispatcher.dispatch_waiting()
        for dispatcher in self._dispatcher_by_service.values():
            dispatcher.dispatch_waiting()

    def dispatcher_of(self, spec):
        """Return the `Dispatcher` for the model version of an `AnswerSpec`."""
        key = (spec.model, spec.version)
        dispatcher = self._dispatcher_by_version.get(key)
        if dispatcher is None:

            def targets():
                return self._targets_of_version(spec.model, spec.version)

            choose = with_affinity(two_choices(random))
            dispatcher = self._dispatcher_by_version[key] = Dispatcher(targets, choose)
        return dispatcher

    def spare_target(self, spec, name_to_avoid, preferred_name):
        """Return a target to prime, but not the one named `name_to_avoid`, or None."""
        return self.dispatcher_of(spec).spare_target(name_to_avoid, preferred_name)

    def is_version_loaded(self, spec):
        """Tell whether any live target has the model version of a spec loaded."""
        return any(
            target.is_live and target.serves(spec.model, spec.version)
            for target in self.directory.target_by_name.values()
        )

    def version_for_new_requests(self, model):
        """Return the version of a `Model` that a new answer uses."""
        engines = self.directory.observed_engines()
        return version_for_new_requests(self._replica.document, model, engines)

    def _targets_of_version(self, model_name, version):
        document = self._replica.document
        model = document.model_by_name.get(model_name)
        pools = model.pools if model is not None else ()
        return [
            target
            for target in self.directory.serving(model_name, version)
            if document.matches_pools(target.state.labels, pools)
        ]

    async def acquire_call_target(self, service, max_wait_ms):
        """Wait for a target for a service call; returns it as an entered `Target`."""
        dispatcher = self._dispatcher_by_service.get(service.name)
        if dispatcher is None:

            def targets():
                return self._targets_of_service(service)

            dispatcher = Dispatcher(targets, two_choices(random))
            self._dispatcher_by_service[service.name] = dispatcher
        return await dispatcher.acquire_call_target(max_wait_ms)

    def known_target_states(self, service):
        """Return the `TargetState` of each known target of a service, as a list."""
        return [
            target.state
            for target in self.directory.target_by_name.values()
            if target.state.service_name == service.name
        ]

    def _targets_of_service(self, service):
        document = self._replica.document
        current = document.service_by_name.get(service.name, service)
        return [
            target
            for target in self.directory.candidates()
            if target.state.kind == "service"
            and target.state.service_name == current.name
            and document.matches_pools(target.state.labels, current.pools)
        ]
