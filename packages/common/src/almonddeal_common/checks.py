"""Validation of JSON against a schema, with every error reported at once."""

import json
from importlib.resources import files

from jsonschema import Draft202012Validator

from almonddeal_common.codes import AlmonddealError


class CheckError(AlmonddealError):
    """One thing wrong in a JSON document.

    Parameters
    ----------
    code : ResultCode
        Code of the whole check.
    path : str
        Place in the document, such as ``$.customers.kite.weight``.
    found : object
        What stands there.
    allowed : str
        What may stand there.
    """

    def __init__(self, code, path, found, allowed):
        shown = json.dumps(found)
        if len(shown) > 80:
            shown = shown[:77] + "..."
        super().__init__(code, f"{path}: found {shown}; allowed: {allowed}")
        self.path = path
        self.found = found
        self.allowed = allowed


def _allowed(error):
    if error.validator == "additionalProperties":
        known = ", ".join(sorted(error.schema.get("properties", {})))
        return f"only the keys {known}"
    if error.validator == "required":
        return error.message
    if error.validator == "enum":
        return "one of " + ", ".join(json.dumps(v) for v in error.validator_value)
    return f"{error.validator} {json.dumps(error.validator_value)}"


def load_schema(package, name):
    """Return the JSON Schema in file `name` of a package as a validator."""
    schema = json.loads(files(package).joinpath(name).read_text())
    return Draft202012Validator(schema)


def schema_errors(validator, document, code):
    """Return every violation of the schema.

    Parameters
    ----------
    validator : jsonschema.Draft202012Validator
        Schema to hold the document against.
    document : object
        Parsed JSON.
    code : ResultCode
        Code that each error carries.

    Returns
    -------
    errors : list of CheckError
    """
    found = sorted(validator.iter_errors(document), key=lambda e: e.json_path)
    return [CheckError(code, e.json_path, e.instance, _allowed(e)) for e in found]


def raise_group(message, errors):
    """Raise all errors in one exception group if there are any."""
    if errors:
        raise ExceptionGroup(message, errors)
