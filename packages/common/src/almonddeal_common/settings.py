"""Process settings: one JSON file per process, validated before anything starts."""

import json
from pathlib import Path

from almonddeal_common.checks import CheckError, raise_group, schema_errors
from almonddeal_common.codes import SETTINGS_INVALID


def read_settings(path, validator):
    """Read and validate a settings file; returns the settings as a dict.

    Parameters
    ----------
    path : path-like
        Path of the JSON file.
    validator : jsonschema.Draft202012Validator
        Schema of the settings.

    Raises
    ------
    ExceptionGroup
        With a `CheckError` for each violation, or one if the file cannot be read.
    """
    label = f"settings {path}"
    try:
        settings = json.loads(Path(path).read_text())
    except OSError as error:
        check_error = CheckError(SETTINGS_INVALID, str(path), error.strerror, "a file")
        raise ExceptionGroup(label, [check_error]) from None
    except ValueError as error:
        check_error = CheckError(SETTINGS_INVALID, str(path), str(error), "valid JSON")
        raise ExceptionGroup(label, [check_error]) from None
    raise_group(label, schema_errors(validator, settings, SETTINGS_INVALID))
    return settings
