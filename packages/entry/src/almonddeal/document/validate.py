"""Validation of a fleet document: its schema, then rules across items."""

from almonddeal.document.diff import without_equal_items
from almonddeal.document.model import path_is_below
from almonddeal_common.checks import (
    CheckError,
    load_schema,
    raise_group,
    schema_errors,
)
from almonddeal_common.codes import DOCUMENT_INVALID

SCHEMA = load_schema("almonddeal.document", "schema.json")


def validate_document(raw, valid_document=None):
    """Validate a fleet document.

    Parameters
    ----------
    raw : object
        Parsed JSON.
    valid_document : dict, optional
        A document that passed before; items equal in both are not checked against the
        schema again.

    Raises
    ------
    ExceptionGroup
        Contains a `CheckError` for each fault.
    """
    checked = raw
    if valid_document is not None and isinstance(raw, dict):
        _, checked = without_equal_items(valid_document, raw)
    errors = schema_errors(SCHEMA, checked, DOCUMENT_INVALID)
    if not errors:
        errors = _errors_across_items(raw)
    raise_group("document", errors)


def _errors_across_items(raw):
    errors = []
    _check_references(raw, errors)
    _check_keys_differ(raw, errors)
    _check_pools(raw, errors)
    _check_lookups(raw, errors)
    return errors


def _check_references(raw, errors):
    for name, customer in raw["customers"].items():
        for section in ("models", "services"):
            for index, reference in enumerate(customer.get(section, ())):
                if reference not in raw[section]:
                    path = f"$.customers.{name}.{section}[{index}]"
                    allowed = f"a name under $.{section}"
                    errors.append(
                        CheckError(DOCUMENT_INVALID, path, reference, allowed)
                    )


def _check_keys_differ(raw, errors):
    owner_by_key_hash = {}
    for name, customer in raw["customers"].items():
        for index, key_hash in enumerate(customer["key_sha256"]):
            owner = owner_by_key_hash.setdefault(key_hash, name)
            if owner != name or customer["key_sha256"].index(key_hash) != index:
                path = f"$.customers.{name}.key_sha256[{index}]"
                allowed = f"a key that {owner} does not have"
                errors.append(CheckError(DOCUMENT_INVALID, path, key_hash, allowed))


def _check_pools(raw, errors):
    for section in ("models", "services"):
        for name, item in raw[section].items():
            for index, pool in enumerate(item.get("pools", ())):
                if pool not in raw.get("pools", {}):
                    path = f"$.{section}.{name}.pools[{index}]"
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
    is_same_method = rule["method"] == other["method"]
    return is_same_method and path_is_below(other["path_prefix"], rule["path_prefix"])
