"""Differences between two documents as JSON Patch (RFC 6902)."""

import json

from jsonpatch import JsonPatch, make_patch


def make_changes(old, new):
    """Return the patch from `old` to `new` as JSON text."""
    return json.dumps(make_patch(old, new).patch)


def apply_changes(raw, patch_json):
    """Return a new document: `raw` with a patch applied."""
    return JsonPatch(json.loads(patch_json)).apply(raw)


def changed_paths(patch_json):
    """Return the paths that a patch touches, sorted."""
    return sorted({operation["path"] for operation in json.loads(patch_json)})
