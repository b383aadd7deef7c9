"""Reload of the settings that may change while a process runs."""

from almonddeal_common.codes import AlmonddealError
from almonddeal_common.logs import decide, get_logger

log = get_logger("settings")


def reload_settings(settings, load):
    """Reload the seed addresses of the control instances; other settings stay.

    Parameters
    ----------
    settings : RoleSettings
        Settings in use; changed in place.
    load : callable
        Reads the settings file and returns its `RoleSettings`.
    """
    try:
        loaded = load()
    except AlmonddealError as error:
        log.error("settings not reloaded, the current ones stay in use: %s", error)
        return
    if loaded.seed_addresses != settings.seed_addresses:
        decide(
            log,
            "seed addresses of control instances changed",
            before=settings.seed_addresses,
            after=loaded.seed_addresses,
        )
        settings.seed_addresses = loaded.seed_addresses
