"""Tests of the rollout planner."""

import random

import pytest

from almonddeal.document.model import FleetDocument
from almonddeal.rollout.planner import (
    LOAD,
    ROLE,
    UNLOAD,
    ObservedEngine,
    Pause,
    Step,
    next_steps,
    role_change_target,
    simulate_rollout,
    version_for_new_requests,
)


def make_document(version="v2", leaving=(), roles=None, max_loads=1, min_ready=0.5):
    return FleetDocument(
        5,
        {
            "models": {"draft": {"version": version, "min_ready": min_ready}},
            "leaving": list(leaving),
            "roles": roles or {},
            "control": {"max_loads": max_loads},
        },
    )


def make_engine(name, *versions, is_live=True, n_running=0, role=""):
    loaded = {("draft", version) for version in versions}
    return ObservedEngine(name, is_live, {}, loaded, role, 10, n_running, n_running)


def make_engines(n_engines, *versions):
    return [make_engine(f"e{n}", *versions) for n in range(n_engines)]


class TestNextSteps:
    def test_no_steps_if_targets_match_the_document(self):
        assert next_steps(make_document("v1"), make_engines(3, "v1"), set()) == []

    def test_loads_are_limited_by_max_loads(self):
        steps = next_steps(make_document(max_loads=2), make_engines(3, "v1"), set())
        assert steps == [Step(LOAD, f"e{n}", "draft", "v2") for n in (0, 1)]
        busy = {"e0", "e1"}
        assert (
            next_steps(make_document(max_loads=2), make_engines(3, "v1"), set(), busy)
            == []
        )

    def test_old_version_is_unloaded_after_all_engines_have_the_new_one(self):
        engines = [make_engine("e0", "v1", "v2"), make_engine("e1", "v1")]
        steps = next_steps(make_document(), engines, set())
        assert steps == [Step(LOAD, "e1", "draft", "v2")]

    def test_version_with_unfinished_answers_is_not_unloaded(self):
        engines = make_engines(2, "v1", "v2")
        assert next_steps(make_document(), engines, {("draft", "v1")}) == []
        steps = next_steps(make_document(), engines, set())
        assert steps == [Step(UNLOAD, "e0", "draft", "v1")]

    def test_pauses_while_an_engine_is_unreachable(self):
        engines = [*make_engines(2, "v1"), make_engine("e9", "v1", is_live=False)]
        steps = next_steps(make_document(), engines, set())
        assert isinstance(steps, Pause) and "e9" in steps.reason

    def test_pauses_if_one_more_loss_would_exceed_capacity(self):
        engines = [make_engine(f"e{n}", "v1", n_running=8) for n in range(3)]
        steps = next_steps(make_document(), engines, set())
        assert isinstance(steps, Pause) and "one more" in steps.reason

    def test_no_load_on_a_leaving_target(self):
        steps = next_steps(make_document(leaving=["e0"]), make_engines(2, "v1"), set())
        assert steps == [Step(LOAD, "e1", "draft", "v2")]

    def test_role_changes_only_on_an_idle_engine(self):
        document = make_document("v1", roles={"e0": "prefill", "e1": "prefill"})
        engines = make_engines(3, "v1")
        assert role_change_target(document, engines) == "e0"
        assert next_steps(document, engines, set()) == [
            Step(ROLE, "e0", role="prefill")
        ]
        engines[0].n_in_flight = 1
        assert next_steps(document, engines, set()) == []


class TestVersionForNewRequests:
    def test_old_version_is_used_until_enough_engines_have_the_new_one(self):
        document = make_document()
        model = document.model_by_name["draft"]
        engines = make_engines(4, "v1")
        assert version_for_new_requests(document, model, engines) == "v1"
        engines[0].loaded.add(("draft", "v2"))
        assert version_for_new_requests(document, model, engines) == "v1"
        engines[1].loaded.add(("draft", "v2"))
        assert version_for_new_requests(document, model, engines) == "v2"


class TestSimulate:
    @pytest.mark.parametrize("seed", range(100))
    def test_every_plan_reaches_the_document_and_keeps_capacity(self, seed):
        rng = random.Random(seed)
        engines = [
            make_engine(f"e{n}", *rng.sample(["v1", "v2", "v3"], rng.randrange(3)))
            for n in range(rng.randrange(1, 8))
        ]
        document = make_document(
            rng.choice(["v2", "v3"]), max_loads=rng.randrange(1, 4)
        )
        for planned in simulate_rollout(document, engines):
            assert planned.n_slots_left == 10 * len(engines)
            engine = next(e for e in engines if e.name == planned.step.target)
            model_version = (planned.step.model, planned.step.version)
            if planned.step.kind == LOAD:
                assert model_version not in engine.loaded
                engine.loaded.add(model_version)
            else:
                engine.loaded.remove(model_version)
        wanted = {("draft", document.model_by_name["draft"].version)}
        assert all(engine.loaded == wanted for engine in engines)
