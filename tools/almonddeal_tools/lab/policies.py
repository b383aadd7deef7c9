"""Policies that decide where work goes: the product's, and simpler ones beside it."""

import random

from almonddeal.relay.choose import SelectionPolicy, choose_backup, choose_engine


class Policy:
    """A set of decisions with a name.

    Parameters
    ----------
    name : str
    says : str
        One line on it.
    choices : SelectionPolicy
    shares_runs : bool
        Whether instances hear of each other's runs.
    """

    __slots__ = ("choices", "name", "says", "shares_runs")

    def __init__(self, name, says, choices, shares_runs=True):
        self.name = name
        self.says = says
        self.choices = choices
        self.shares_runs = shares_runs


def choose_any(states, load_view, n_tokens, traits, domain, random_value):
    """Return any engine, or None."""
    return random.choice(states) if states else None


def choose_fewest_runs(states, load_view, n_tokens, traits, domain, random_value):
    """Return the engine with the fewest known runs, or None."""
    return min(
        states,
        key=lambda s: (load_view.load(s.announcement).n_runs, random_value()),
        default=None,
    )


def choose_fewest_own(states, load_view, n_tokens, traits, domain, random_value):
    """Return the engine with the fewest runs of this instance, or None."""
    return min(states, key=lambda s: (s.n_in_flight, random_value()), default=None)


def keep_no_copy(states, target, load_view, n_tokens, traits, random_value):
    """Return no engine for the copy of a run."""


POLICIES = [
    Policy("product", "the product's own", SelectionPolicy()),
    Policy(
        "no-copies",
        "its choice of engines, without copies of runs",
        SelectionPolicy(engine=choose_engine, backup=keep_no_copy),
    ),
    Policy(
        "no-words",
        "its choices, from each instance's own runs alone",
        SelectionPolicy(),
        shares_runs=False,
    ),
    Policy(
        "fewest-runs",
        "the engine with the fewest runs of all instances",
        SelectionPolicy(engine=choose_fewest_runs, backup=choose_backup),
    ),
    Policy(
        "fewest-own",
        "the engine with the fewest runs of this instance",
        SelectionPolicy(engine=choose_fewest_own, backup=choose_backup),
        shares_runs=False,
    ),
    Policy(
        "any", "any engine", SelectionPolicy(engine=choose_any, backup=choose_backup)
    ),
]

POLICY_BY_NAME = {policy.name: policy for policy in POLICIES}
