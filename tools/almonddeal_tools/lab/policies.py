"""Policies that select engines: the product's, and simpler ones to compare it with."""

import random

from almonddeal.relay.choose import SelectionPolicy, choose_backup, choose_engine


class Policy:
    """A named selection policy and the information available to it.

    Parameters
    ----------
    name : str
    description : str
        One line, for the command line.
    selection : SelectionPolicy
    shares_runs : bool
        Whether instances receive each other's run reports.
    """

    __slots__ = ("description", "name", "selection", "shares_runs")

    def __init__(self, name, description, selection, shares_runs=True):
        self.name = name
        self.description = description
        self.selection = selection
        self.shares_runs = shares_runs


def choose_random(states, load_view, n_tokens, traits, domain, random_value):
    """Return a random engine, or None."""
    return random.choice(states) if states else None


def choose_fewest_runs(states, load_view, n_tokens, traits, domain, random_value):
    """Return the engine with the fewest known runs, or None."""
    return min(
        states,
        key=lambda s: (load_view.load(s.announcement).n_runs, random_value()),
        default=None,
    )


def choose_fewest_in_flight(states, load_view, n_tokens, traits, domain, random_value):
    """Return the engine with the fewest runs of this instance, or None."""
    return min(states, key=lambda s: (s.n_in_flight, random_value()), default=None)


def choose_no_backup(states, target, load_view, n_tokens, traits, random_value):
    """Return None, so that no run has a KV cache copy."""


POLICIES = [
    Policy("product", "the product's selection", SelectionPolicy()),
    Policy(
        "no-copies",
        "the product's selection, without KV cache copies",
        SelectionPolicy(engine=choose_engine, backup=choose_no_backup),
    ),
    Policy(
        "no-words",
        "the product's selection, knowing only each instance's own runs",
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
        SelectionPolicy(engine=choose_fewest_in_flight, backup=choose_backup),
        shares_runs=False,
    ),
    Policy(
        "any",
        "a random engine",
        SelectionPolicy(engine=choose_random, backup=choose_backup),
    ),
]

POLICY_BY_NAME = {policy.name: policy for policy in POLICIES}
