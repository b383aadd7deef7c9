"""Validation of a fleet document: the schema, then checks across its parts."""

from almonddeal.document.diff import only_changed
from almonddeal.document.model import path_is_below
from almonddeal_common.checks import (
    CheckError,
    load_schema,
    raise_group,
    schema_errors,
)
from almonddeal_common.codes import DOCUMENT_INVALID

SCHEMA = load_schema("almonddeal.document", "schema.json")


def validate_document(raw, valid=None):
    """Check a whole document.

    Parameters
    ----------
    raw : object
        Parsed JSON.
    valid : dict, optional
        A document that passed before; items equal to its own are not held against the
        schema again.

    Raises
    ------
    ExceptionGroup
        Holds a `CheckError` for everything that is wrong.
    """
    checked = raw
    if valid is not None and isinstance(raw, dict):
        _, checked = only_changed(valid, raw)
    errors = schema_errors(SCHEMA, checked, DOCUMENT_INVALID)
    if not errors:
        errors = _cross_errors(raw)
    raise_group("document", errors)


def _cross_errors(raw):
    errors = []
    _check_references(raw, errors)
    _check_keys_differ(raw, errors)
    _check_pools(raw, errors)
    _check_lookups(raw, errors)
    return errors


def _check_references(raw, errors):
    for name, customer in raw["customers"].items():
        for part in ("models", "services"):
            for index, reference in enumerate(customer.get(part, ())):
                if reference not in raw[part]:
                    path = f"$.customers.{name}.{part}[{index}]"
                    allowed = f"a name under $.{part}"
                    errors.append(
                        CheckError(DOCUMENT_INVALID, path, reference, allowed)
                    )


def _check_keys_differ(raw, errors):
    owner_by_key = {}
    for name, customer in raw["customers"].items():
        for index, key in enumerate(customer["key_sha256"]):
            owner = owner_by_key.setdefault(key, name)
            if owner != name or customer["key_sha256"].index(key) != index:
                path = f"$.customers.{name}.key_sha256[{index}]"
                allowed = f"a key that {owner} does not have"
                errors.append(CheckError(DOCUMENT_INVALID, path, key, allowed))


def _check_pools(raw, errors):
    for part in ("models", "services"):
        for name, item in raw[part].items():
            for index, pool in enumerate(item.get("pools", ())):
                if pool not in raw.get("pools", {}):
                    path = f"$.{part}.{name}.pools[{index}]"
                    allowed = "a name under $.pools"
                    errors.append(CheckError(DOCUMENT_INVALID, path, pool, allowed))


def _check_lookups(raw, errors):
    for name, service in raw["services"].items():
        rules = service.get("lookups", ())
        for index, rule in enumerate(rules):
            if any(_covers(other, rule) for other in rules[:index]):
                path = f"$.services.{name}.lookups[{index}]"
                allowed = "a rule that no earlier rule covers"
                errors.append(CheckError(DOCUMENT_INVALID, path, rule, allowed))


def _covers(rule, other):
    same_method = rule["method"] == other["method"]
    return same_method and path_is_below(other["path_prefix"], rule["path_prefix"])
