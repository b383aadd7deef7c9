"""Which targets may serve a request now, and places at them in fair order."""

import random

from almonddeal.limits.dispatch import Dispatcher
from almonddeal.rollout.planner import version_for_new_requests
from almonddeal.targets.choose import two_choices, with_affinity


class Dispatchers:
    """Dispatchers by model version and by service.

    Parameters
    ----------
    replica : DocumentReplica

    Attributes
    ----------
    directory : TargetDirectory
        Set once, before the first use.
    """

    def __init__(self, replica):
        self.directory = None
        self._replica = replica
        self._dispatcher_by_version = {}
        self._dispatcher_by_service = {}

    def dispatch_waiting(self):
        """Give free places to those who wait."""
        for dispatcher in self._dispatcher_by_version.values():
            dispatcher.dispatch_waiting()
        for dispatcher in self._dispatcher_by_service.values():
            dispatcher.dispatch_waiting()

    # ---- engines ---------------------------------------------------------------

    def dispatcher_of(self, spec):
        """Return the `Dispatcher` of the model version of an `AnswerSpec`."""
        key = (spec.model, spec.version)
        dispatcher = self._dispatcher_by_version.get(key)
        if dispatcher is None:

            def targets():
                return self._engine_targets(spec.model, spec.version)

            choose = with_affinity(two_choices(random))
            dispatcher = self._dispatcher_by_version[key] = Dispatcher(targets, choose)
        return dispatcher

    def spare_target(self, spec, avoid, preferred):
        """Return a target for priming beside the one named `avoid`, or None."""
        return self.dispatcher_of(spec).spare_target(avoid, preferred)

    def version_exists(self, spec):
        """Tell whether any live target has the version of a spec loaded."""
        return any(
            target.is_live and target.serves(spec.model, spec.version)
            for target in self.directory.target_by_name.values()
        )

    def version_for_new_requests(self, model):
        """Return the version that a new answer of a `Model` uses."""
        engines = self.directory.engines()
        return version_for_new_requests(self._replica.document, model, engines)

    def _engine_targets(self, model_name, version):
        document = self._replica.document
        model = document.model_by_name.get(model_name)
        pools = model.pools if model is not None else ()
        return [
            target
            for target in self.directory.serving(model_name, version)
            if document.matches_pools(target.state.labels, pools)
        ]

    # ---- plain services --------------------------------------------------------

    async def acquire_call_target(self, service, wait_ms):
        """Wait for a place for a call; returns an entered `Target`."""
        dispatcher = self._dispatcher_by_service.get(service.name)
        if dispatcher is None:

            def targets():
                return self._service_targets(service)

            dispatcher = Dispatcher(targets, two_choices(random))
            self._dispatcher_by_service[service.name] = dispatcher
        return await dispatcher.acquire_call_target(wait_ms)

    def known_target_states(self, service):
        """Return the states of all known targets of a service, as a list."""
        return [
            target.state
            for target in self.directory.target_by_name.values()
            if target.state.service_name == service.name
        ]

    def _service_targets(self, service):
        document = self._replica.document
        current = document.service_by_name.get(service.name, service)
        return [
            target
            for target in self.directory.candidates()
            if target.state.kind == "service"
            and target.state.service_name == current.name
            and document.matches_pools(target.state.labels, current.pools)
        ]
