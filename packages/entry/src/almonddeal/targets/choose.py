"""Policies that choose a target among those that serve a request.

A policy is a closure ``choose(targets, prompt)`` that returns a target, or None if each
one is as full as it may be.
"""

from collections import OrderedDict
from hashlib import blake2b

AFFINITY_OCCUPANCY = 0.8
PREFIX_CHARS = 256
MAX_PREFIXES = 50_000


def random_choice(random):
    """Return a policy that takes any target with room."""

    def choose(targets, prompt):
        open_targets = [t for t in targets if t.has_capacity]
        return random.choice(open_targets) if open_targets else None

    return choose


def least_loaded():
    """Return a policy that takes the target with the lowest occupancy."""

    def choose(targets, prompt):
        best = min(targets, key=lambda t: t.occupancy, default=None)
        return best if best is not None and best.has_capacity else None

    return choose


def two_choices(random):
    """Return a policy that takes the emptier of two random targets.

    References
    ----------
    M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
    """

    def choose(targets, prompt):
        open_targets = [t for t in targets if t.has_capacity]
        if not open_targets:
            return None
        pair = random.sample(open_targets, min(2, len(open_targets)))
        return min(pair, key=lambda t: t.occupancy)

    return choose


def prefix_key(prompt):
    """Return the key under which prompts with the same beginning meet."""
    return blake2b(prompt[:PREFIX_CHARS].encode(), digest_size=8).digest()


def with_affinity(choose_other):
    """Return a policy that prefers the target that saw a prompt's beginning last.

    What a target said of evictions corrects what was sent to it; after a gap in its
    events the older belief is dropped.

    Parameters
    ----------
    choose_other : callable
        Policy for prompts with no such target, or where it is too full.
    """
    name_by_prefix = OrderedDict()

    def choose(targets, prompt):
        key = prefix_key(prompt)
        name, epoch = name_by_prefix.get(key, (None, None))
        target = next((t for t in targets if t.name == name), None)
        if target is not None and not target.may_have_cached(key, epoch):
            target = None
        if target is None or target.occupancy >= AFFINITY_OCCUPANCY:
            target = choose_other(targets, prompt)
        if target is not None:
            name_by_prefix[key] = (target.name, target.state.cache_epoch)
            name_by_prefix.move_to_end(key)
            if len(name_by_prefix) > MAX_PREFIXES:
                name_by_prefix.popitem(last=False)
        return target

    return choose
