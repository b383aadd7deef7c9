"""Process settings: one JSON file a process, checked whole before anything starts."""

import json
from pathlib import Path

from almonddeal_common.checks import CheckError, raise_group, schema_errors
from almonddeal_common.codes import SETTINGS_INVALID


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
    raise_group(label, schema_errors(validator, settings, SETTINGS_INVALID))
    return settings
