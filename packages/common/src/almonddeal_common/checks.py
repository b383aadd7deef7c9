"""Validation of JSON documents against a schema, reporting all violations at once."""

import json
from importlib.resources import files

from jsonschema import Draft202012Validator

from almonddeal_common.codes import AlmonddealError


class CheckError(AlmonddealError):
    """One violation found in a JSON document.

    Parameters
    ----------
    code : ResultCode
        Result code of the whole validation.
    path : str
        JSON path of the value, such as ``$.customers.kite.weight``.
    found : object
        The value in the document.
    allowed : str
        Description of the values that are allowed.
    """

    def __init__(self, code, path, found, allowed):
        shown = json.dumps(found)
        if len(shown) > 80:
            shown = shown[:77] + "..."
        super().__init__(code, f"{path}: found {shown}; allowed: {allowed}")
        self.path = path
        self.found = found
        self.allowed = allowed


def _describe_allowed(error):
    if error.validator == "additionalProperties":
        known = ", ".join(sorted(error.schema.get("properties", {})))
        return f"only the keys {known}"
    if error.validator == "required":
        return error.message
    if error.validator == "enum":
        return "one of " + ", ".join(json.dumps(v) for v in error.validator_value)
    return f"{error.validator} {json.dumps(error.validator_value)}"


def load_schema(package, name):
    """Return a validator for the JSON Schema in file `name` of a package."""
    schema = json.loads(files(package).joinpath(name).read_text())
    return Draft202012Validator(schema)


def schema_errors(validator, document, code):
    """Return all violations of a schema.

    Parameters
    ----------
    validator : jsonschema.Draft202012Validator
        Schema that the document must match.
    document : object
        Parsed JSON.
    code : ResultCode
        Result code of each error.

    Returns
    -------
    errors : list of CheckError
    """
    found = sorted(validator.iter_errors(document), key=lambda e: e.json_path)
    return [
        CheckError(code, e.json_path, e.instance, _describe_allowed(e)) for e in found
    ]


def raise_group(message, errors):
    """Raise the errors as one exception group; does nothing without errors."""
    if errors:
        raise ExceptionGroup(message, errors)
