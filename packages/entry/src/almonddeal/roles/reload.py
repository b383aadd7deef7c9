"""Settings that may change while a process runs."""

from almonddeal_common.codes import AlmonddealError
from almonddeal_common.logs import decide, get_logger

log = get_logger("settings")


def reload_settings(settings, load):
    """Take over what may change: the control instances that are told.

    Parameters
    ----------
    settings : RoleSettings
        In use; changed in place.
    load : callable
        Returns the settings as they are written now.
    """
    try:
        written = load()
    except AlmonddealError as error:
        log.error("keeps its settings, %s", error)
        return
    if written.seed_addresses != settings.seed_addresses:
        decide(
            log,
            "is told of other control instances",
            before=settings.seed_addresses,
            after=written.seed_addresses,
        )
        settings.seed_addresses = written.seed_addresses
