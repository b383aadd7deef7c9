"""Differences between two documents as JSON Patch (RFC 6902).

A document may have many thousands of customers of which a change affects few, so
patches, copies and validation leave out items that are equal.
"""

import json

from jsonpatch import JsonPatch, make_patch

SECTIONS = ("customers", "models", "services", "pools", "roles")


def without_equal_items(old, new):
    """Return both documents without the items of their sections that are equal.

    Parameters
    ----------
    old, new : dict
        Parsed JSON; sections that are not objects are returned unchanged.

    Returns
    -------
    old_part, new_part : dict
    """
    old_part, new_part = dict(old), dict(new)
    for section in SECTIONS:
        before, after = old.get(section), new.get(section)
        if isinstance(before, dict) and isinstance(after, dict):
            old_part[section], new_part[section] = _differing_items(before, after)
    return old_part, new_part


def _differing_items(before, after):
    equal = {name for name, item in after.items() if before.get(name) == item}
    return (
        {name: item for name, item in before.items() if name not in equal},
        {name: item for name, item in after.items() if name not in equal},
    )


def make_changes(old, new):
    """Return the patch from `old` to `new` as a JSON string."""
    return json.dumps(make_patch(*without_equal_items(old, new)).patch)


def apply_changes(raw, patch_json):
    """Return a new document: `raw` with a patch applied.

    Items that the patch does not change are shared with `raw`, which is not modified.
    """
    patch = json.loads(patch_json)
    result = dict(raw)
    for operation in patch:
        _copy_path(result, operation["path"])
        if "from" in operation:
            _copy_path(result, operation["from"])
    return JsonPatch(patch).apply(result, in_place=True)


def _copy_path(node, path):
    """Replace the containers along a JSON pointer by shallow copies."""
    for escaped in path.split("/")[1:-1]:
        key = escaped.replace("~1", "/").replace("~0", "~")
        if isinstance(node, list):
            key = int(key)
        child = node[key] if isinstance(node, list) else node.get(key)
        if not isinstance(child, (dict, list)):
            return
        node[key] = child.copy()
        node = node[key]


def changed_paths(patch_json):
    """Return the distinct paths of the operations of a patch, sorted."""
    return sorted({operation["path"] for operation in json.loads(patch_json)})
