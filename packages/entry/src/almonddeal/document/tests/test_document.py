"""Tests of the fleet document: twenty kinds of wrong ones, and what right ones say."""

import copy

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from almonddeal.document.diff import apply_changes, changed_paths, make_changes
from almonddeal.document.model import FleetDocument
from almonddeal.document.validate import validate_document

KEY = "a" * 64
RIGHT = {
    "format": 1,
    "customers": {
        "kite": {"key_sha256": [KEY], "models": ["draft"], "services": ["badges"]}
    },
    "models": {"draft": {"version": "v1", "pools": ["east"]}},
    "services": {"badges": {"lookups": [{"method": "GET", "path_prefix": "/status"}]}},
    "pools": {"east": {"labels": {"zone": "east"}}},
    "leaving": ["t1"],
}


def put(path, value):
    """Return a change that puts a value at a path."""

    def change(document):
        *parents, last = path.split(".")
        for name in parents:
            document = document[name]
        document[last] = value

    return change


def drop(name):
    def change(document):
        del document[name]

    return change


WRONG = [
    (drop("format"), "$"),
    (put("format", 2), "$.format"),
    (drop("models"), "$"),
    (put("surprise", 1), "$"),
    (put("customers", []), "$.customers"),
    (put("customers.UPPER", {"key_sha256": [KEY]}), "$.customers"),
    (put("customers.kite.key_sha256", []), "$.customers.kite.key_sha256"),
    (put("customers.kite.key_sha256", ["xyz"]), "$.customers.kite.key_sha256[0]"),
    (put("customers.kite.colour", "red"), "$.customers.kite"),
    (put("customers.kite.weight", 0), "$.customers.kite.weight"),
    (put("customers.kite.models", ["none"]), "$.customers.kite.models[0]"),
    (put("customers.kite.services", ["none"]), "$.customers.kite.services[0]"),
    (put("customers.kite.resume", {"copies": 9}), "$.customers.kite.resume.copies"),
    (put("customers.kite.limits", {"burst": 0}), "$.customers.kite.limits.burst"),
    (put("customers.twin", {"key_sha256": [KEY]}), "$.customers.twin.key_sha256[0]"),
    (put("models.draft.version", 7), "$.models.draft.version"),
    (put("models.draft.pools", ["west"]), "$.models.draft.pools[0]"),
    (put("services.badges.timeout_ms", 1), "$.services.badges.timeout_ms"),
    (
        put("services.badges.lookups", [{"method": "PUT", "path_prefix": "/"}]),
        "$.services.badges.lookups[0].method",
    ),
    (
        put(
            "services.badges.lookups",
            [
                {"method": "GET", "path_prefix": "/a"},
                {"method": "GET", "path_prefix": "/a/b"},
            ],
        ),
        "$.services.badges.lookups[1]",
    ),
    (put("pools.east.labels", {}), "$.pools.east.labels"),
    (put("leaving", ["t1", "t1"]), "$.leaving"),
    (put("control", {"lease_ms": 5}), "$.control.lease_ms"),
]


class TestValidation:
    def test_right_document(self):
        validate_document(RIGHT)

    @pytest.mark.parametrize(("change", "path"), WRONG)
    def test_wrong_document(self, change, path):
        document = copy.deepcopy(RIGHT)
        change(document)
        with pytest.raises(ExceptionGroup) as caught:
            validate_document(document)
        assert path in [error.path for error in caught.value.exceptions]

    @pytest.mark.parametrize("value", [None, 7, "text", []])
    def test_no_object_at_all(self, value):
        with pytest.raises(ExceptionGroup):
            validate_document(value)

    def test_all_errors_are_reported_at_once(self):
        document = copy.deepcopy(RIGHT)
        for change, _ in (WRONG[9], WRONG[15], WRONG[21]):
            change(document)
        with pytest.raises(ExceptionGroup) as caught:
            validate_document(document)
        assert len(caught.value.exceptions) == 3


class TestFleetDocument:
    def test_lookup_rules_match_whole_segments(self):
        service = FleetDocument(1, RIGHT).service_by_name["badges"]
        assert service.is_lookup("GET", "/status/7")
        assert service.is_lookup("GET", "/status")
        assert not service.is_lookup("GET", "/statusfoo")
        assert not service.is_lookup("POST", "/status/7")

    def test_pools_match_labels(self):
        document = FleetDocument(1, RIGHT)
        assert document.matches_pools({"zone": "east", "size": "l"}, ("east",))
        assert not document.matches_pools({"zone": "west"}, ("east",))
        assert document.matches_pools({}, ())


NAMES = st.sampled_from(["a", "b", "c/d", "e~f"])
ITEMS = st.dictionaries(
    NAMES, st.dictionaries(st.sampled_from("xy"), st.integers(0, 2), max_size=2)
)
DOCUMENTS = st.fixed_dictionaries(
    {"customers": ITEMS, "models": ITEMS, "leaving": st.lists(NAMES, max_size=2)}
)


class TestDiff:
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(DOCUMENTS, DOCUMENTS)
    def test_any_document_leads_to_any_other(self, old, new):
        kept = copy.deepcopy(old)
        assert apply_changes(old, make_changes(old, new)) == new
        assert old == kept

    @pytest.mark.parametrize(("change", "path"), WRONG)
    def test_errors_are_found_beside_a_valid_document(self, change, path):
        document = copy.deepcopy(RIGHT)
        change(document)
        with pytest.raises(ExceptionGroup) as caught:
            validate_document(document, RIGHT)
        assert path in [error.path for error in caught.value.exceptions]

    def test_unchanged_customers_are_taken_over(self):
        new = copy.deepcopy(RIGHT)
        new["customers"]["owl"] = {"key_sha256": ["b" * 64]}
        first = FleetDocument(1, RIGHT)
        raw = apply_changes(RIGHT, make_changes(RIGHT, new))
        second = FleetDocument(2, raw, first)
        assert second.customer_by_name["kite"] is first.customer_by_name["kite"]
        assert "b" * 64 in second.customer_by_key_hash

    def test_patch_leads_from_one_to_the_other(self):
        new = copy.deepcopy(RIGHT)
        new["customers"]["owl"] = {"key_sha256": ["b" * 64]}
        patch = make_changes(RIGHT, new)
        assert apply_changes(RIGHT, patch) == new
        assert changed_paths(patch) == ["/customers/owl"]
