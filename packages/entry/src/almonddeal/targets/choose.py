"""Load-balancing policies, which select a target for a request.

A policy is a closure ``choose(targets, prompt)`` that returns one of the targets, or
None if none has free capacity.
"""

from collections import OrderedDict
from hashlib import blake2b

MAX_AFFINITY_OCCUPANCY = 0.8
PREFIX_CHARS = 256
MAX_PREFIXES = 50_000


def random_choice(random):
    """Return a policy that selects any target with free capacity at random."""

    def choose(targets, prompt):
        available = [t for t in targets if t.has_capacity]
        return random.choice(available) if available else None

    return choose


def least_loaded():
    """Return a policy that selects the target with the lowest occupancy."""

    def choose(targets, prompt):
        lowest = min(targets, key=lambda t: t.occupancy, default=None)
        return lowest if lowest is not None and lowest.has_capacity else None

    return choose


def two_choices(random):
    """Return a policy that selects the less occupied of two random targets.

    References
    ----------
    M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
    """

    def choose(targets, prompt):
        available = [t for t in targets if t.has_capacity]
        if not available:
            return None
        pair = random.sample(available, min(2, len(available)))
        return min(pair, key=lambda t: t.occupancy)

    return choose


def prefix_key(prompt):
    """Return a hash of the first `PREFIX_CHARS` of a prompt, its prefix-cache key."""
    return blake2b(prompt[:PREFIX_CHARS].encode(), digest_size=8).digest()


def with_affinity(fallback):
    """Return a policy with prefix-cache affinity.

    It prefers the target that was last selected for the prompt's prefix, while the
    prefix may still be cached there. An announced eviction of the prefix or a new cache
    epoch, which a target announces after a gap in its events, ends the preference.

    Parameters
    ----------
    fallback : callable
        Policy for prompts without such a target, or if its occupancy is
        `MAX_AFFINITY_OCCUPANCY` or more.
    """
    last_target_by_prefix = OrderedDict()

    def choose(targets, prompt):
        key = prefix_key(prompt)
        name, epoch = last_target_by_prefix.get(key, (None, None))
        target = next((t for t in targets if t.name == name), None)
        if target is not None and not target.may_have_cached(key, epoch):
            target = None
        if target is None or target.occupancy >= MAX_AFFINITY_OCCUPANCY:
            target = fallback(targets, prompt)
        if target is not None:
            last_target_by_prefix[key] = (target.name, target.state.cache_epoch)
            last_target_by_prefix.move_to_end(key)
            if len(last_target_by_prefix) > MAX_PREFIXES:
                last_target_by_prefix.popitem(last=False)
        return target

    return choose
