"""Settings of an entry instance, with the checks that their schema cannot express."""

from almonddeal_common.address import Address
from almonddeal_common.checks import CheckError, load_schema, raise_group
from almonddeal_common.codes import SETTINGS_INVALID
from almonddeal_common.settings import read_settings

VALIDATOR = load_schema("almonddeal", "settings.schema.json")
DEFAULT_STOP_TIMEOUT_S = 30.0
DEFAULT_ANSWER_MEMORY_MB = 128


class EntryInfo:
    """Entry instance of the fleet, as listed in the settings."""

    __slots__ = ("address", "failure_domain", "has_disk", "instance")

    def __init__(self, raw):
        self.instance = raw["instance"]
        self.failure_domain = raw["failure_domain"]
        self.address = Address.parse(raw["address"])
        self.has_disk = raw.get("disk", False)


class Operator:
    """Operator account with its role and the hash of its token."""

    __slots__ = ("name", "role", "token_sha256")

    def __init__(self, name, token_sha256, role):
        self.name = name
        self.token_sha256 = token_sha256
        self.role = role


class EntrySettings:
    """Settings of one entry instance.

    Parameters
    ----------
    raw : dict
        Settings that conform to the schema.
    """

    def __init__(self, raw):
        self.instance = raw["instance"]
        self.listen = Address.parse(raw["listen"])
        self.callers = Address.parse(raw["callers"])
        self.operators_listen = Address.parse(raw["operators_listen"])
        self.data_folder = raw.get("data_folder")
        self.entry_by_name = {e["instance"]: EntryInfo(e) for e in raw["entries"]}
        self.operators = [Operator(**o) for o in raw.get("operators", ())]
        self.tls = raw.get("tls")
        self.answer_memory_mb = raw.get("answer_memory_mb", DEFAULT_ANSWER_MEMORY_MB)
        self.stop_timeout_s = raw.get("stop_timeout_s", DEFAULT_STOP_TIMEOUT_S)
        self.log = raw.get("log", {})

    @property
    def own_entry(self):
        """The `EntryInfo` of this instance."""
        return self.entry_by_name[self.instance]

    @property
    def member_names(self):
        """Names of the members of the control group, sorted: entries with a disk."""
        return sorted(n for n, e in self.entry_by_name.items() if e.has_disk)


def _consistency_errors(raw):
    errors = []
    names = [entry["instance"] for entry in raw["entries"]]
    for index, name in enumerate(names):
        if name in names[:index]:
            path = f"$.entries[{index}].instance"
            errors.append(CheckError(SETTINGS_INVALID, path, name, "a name of its own"))
    own_entries = [
        entry for entry in raw["entries"] if entry["instance"] == raw["instance"]
    ]
    if not own_entries:
        path = "$.instance"
        allowed = "one of the instances under $.entries"
        errors.append(CheckError(SETTINGS_INVALID, path, raw["instance"], allowed))
    elif own_entries[0].get("disk", False) != ("data_folder" in raw):
        allowed = "a folder exactly when this instance's entry has a disk"
        found = raw.get("data_folder")
        errors.append(CheckError(SETTINGS_INVALID, "$.data_folder", found, allowed))
    members = [entry for entry in raw["entries"] if entry.get("disk", False)]
    if len(members) not in (1, 3, 5, 7):
        allowed = "1, 3, 5 or 7 entries with a disk"
        errors.append(CheckError(SETTINGS_INVALID, "$.entries", len(members), allowed))
    return errors


def read_entry_settings(path):
    """Read and check the settings file of an entry instance.

    Parameters
    ----------
    path : path-like

    Returns
    -------
    settings : EntrySettings

    Raises
    ------
    ExceptionGroup
        Contains one `CheckError` for each invalid setting.
    """
    raw = read_settings(path, VALIDATOR)
    raise_group(f"settings {path}", _consistency_errors(raw))
    return EntrySettings(raw)
