"""Process settings: one JSON file a process, checked whole before anything starts."""

import json
from pathlib import Path

from almonddeal_common.checks import CheckError, raise_together, schema_errors
from almonddeal_common.codes import SETTINGS_INVALID


class Address:
    """A host number and port, written ``127.0.0.1:7000``."""

    __slots__ = ("host", "port")

    def __init__(self, host, port):
        self.host = host
        self.port = port

    @classmethod
    def parse(cls, text):
        """Return the address written in `text`."""
        host, _, port = text.rpartition(":")
        return cls(host, int(port))

    def __str__(self):
        return f"{self.host}:{self.port}"

    def __repr__(self):
        return f"Address({self.host!r}, {self.port})"


def read_settings(path, validator):
    """Return the settings in a file as a dict that passed the schema.

    Parameters
    ----------
    path : path-like
        The JSON file.
    validator : jsonschema.Draft202012Validator
        Schema of the process's settings.

    Raises
    ------
    ExceptionGroup
        Holds a `CheckError` for each thing that is wrong.
    """
    label = f"settings {path}"
    try:
        settings = json.loads(Path(path).read_text())
    except OSError as error:
        wrong = CheckError(SETTINGS_INVALID, str(path), error.strerror, "a file")
        raise ExceptionGroup(label, [wrong]) from None
    except ValueError as error:
        wrong = CheckError(SETTINGS_INVALID, str(path), str(error), "valid JSON")
        raise ExceptionGroup(label, [wrong]) from None
    raise_together(label, schema_errors(validator, settings, SETTINGS_INVALID))
    return settings
