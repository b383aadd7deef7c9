"""Status of the fleet for operators, as rows for JSON."""


def entry_rows(settings, fleet_view, digests, document):
    """Return a status row for each entry instance, as a list of dicts."""
    version_by_name = {
        name: received.digest.document_version
        for name, received in digests.received_digest_by_name.items()
    }
    version_by_name[settings.instance] = document.version
    live = set(fleet_view.live_entries())
    return [
        {
            "instance": name,
            "live": name in live,
            "version": version_by_name.get(name),
        }
        for name in sorted(settings.entry_by_name)
    ]


def target_rows(directory, document):
    """Return a status row for each target, as a list of dicts."""
    targets = sorted(directory.target_by_name.values(), key=lambda t: t.name)
    return [_target_row(target, document) for target in targets]


def _target_row(target, document):
    state = target.state
    return {
        "target": target.name,
        "instance": state.instance,
        "failure_domain": state.failure_domain,
        "kind": state.kind,
        "live": target.is_live,
        "leaving": target.name in document.leaving_targets,
        "stopping": state.stopping,
        "version": state.document_version,
        "models": [f"{m.model} {m.version}" for m in state.models],
        "role": state.role,
        "in_flight": state.n_in_flight,
        "running": state.load.n_running,
        "waiting": state.load.n_waiting,
        "slots": state.load.n_slots,
    }
