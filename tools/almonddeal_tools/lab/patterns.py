"""Named patterns of load and loss that decisions are compared under."""

import random

import anyio

from almonddeal_tools.lab.callers import Outcome, call
from almonddeal_tools.lab.engine import EngineSpeed
from almonddeal_tools.lab.fleet import LabFleet

RATE_PER_S = 3.1  # answers a second on the smaller of the known fleets
N_PROMPT = 5200
N_OUTPUT = 780
LOSS_S = 1.2  # how long a lost domain of that fleet is away
DRAIN_S = 30.0  # after the last request, so that each one ends


class Pattern:
    """A load, and what happens meanwhile.

    Parameters
    ----------
    name : str
    says : str
        One line on it.
    rate_per_s : callable
        ``rate_per_s(at_s)`` returns the requests a second at a time.
    for_s : float
        How long requests come.
    draw_prompt : callable
        ``draw_prompt(random)`` returns the tokens of a prompt.
    events : list of (float, callable)
        ``await happen(fleet, random)`` at a time in s.
    n_instances, n_engines : int
    """

    __slots__ = (
        "draw_prompt",
        "events",
        "for_s",
        "n_engines",
        "n_instances",
        "name",
        "rate_per_s",
        "says",
    )

    def __init__(
        self,
        name,
        says,
        rate_per_s=lambda at_s: RATE_PER_S,
        for_s=40.0,
        draw_prompt=lambda chance: N_PROMPT,
        events=(),
        n_instances=5,
        n_engines=12,
    ):
        self.name = name
        self.says = says
        self.rate_per_s = rate_per_s
        self.for_s = for_s
        self.draw_prompt = draw_prompt
        self.events = events
        self.n_instances = n_instances
        self.n_engines = n_engines


class Played:
    """What a pattern came to under a policy.

    Attributes
    ----------
    outcomes : list of Outcome
    n_read_tokens, n_read_again_tokens, n_moved_tokens, n_preempted : int
        Sums over the engines.
    """

    __slots__ = (
        "n_moved_tokens",
        "n_preempted",
        "n_read_again_tokens",
        "n_read_tokens",
        "outcomes",
    )

    def __init__(self, outcomes, engines):
        self.outcomes = outcomes
        self.n_read_tokens = sum(e.n_read_tokens for e in engines)
        self.n_read_again_tokens = sum(e.n_read_again_tokens for e in engines)
        self.n_moved_tokens = sum(e.n_moved_tokens for e in engines)
        self.n_preempted = sum(e.n_preempted for e in engines)

    def share(self, name):
        """Return the share of outcomes with a property, from 0 to 1."""
        return sum(getattr(o, name) for o in self.outcomes) / len(self.outcomes)


def lose_domain(number, is_dark):
    """Return an event: all engines of a failure domain vanish and come back."""

    async def happen(fleet, chance):
        await fleet.lose(fleet.engines_of(f"fd{number}"), LOSS_S, is_dark)

    return happen


def lose_some(n_engines, is_dark):
    """Return an event: some engines, drawn by lot, vanish and come back."""

    async def happen(fleet, chance):
        engines = chance.sample(list(fleet.engine_by_address.values()), n_engines)
        await fleet.lose(engines, LOSS_S, is_dark)

    return happen


def slow_down(n_engines, slowness, for_s):
    """Return an event: some engines work slower for a time."""

    async def happen(fleet, chance):
        engines = chance.sample(list(fleet.engine_by_address.values()), n_engines)
        for engine in engines:
            engine.slowness = slowness
        await anyio.sleep(for_s)
        for engine in engines:
            engine.slowness = 1.0

    return happen


def _rate(usual, peak, start_s, end_s):
    return lambda at_s: peak if start_s <= at_s < end_s else usual


def _mixed_prompt(chance):
    return 18_000 if chance.random() < 0.1 else 4000


LOSSES_S = (6.0, 13.0, 20.0, 27.0, 34.0)

PATTERNS = [
    Pattern("steady", "the usual load, nothing fails"),
    Pattern(
        "domain-dark",
        "all engines of one failure domain fall silent, five times in a row",
        events=[(at, lose_domain(n % 3, True)) for n, at in enumerate(LOSSES_S)],
    ),
    Pattern(
        "domain-reset",
        "all engines of one failure domain crash, five times in a row",
        events=[(at, lose_domain(n % 3, False)) for n, at in enumerate(LOSSES_S)],
    ),
    Pattern(
        "engines-dark",
        "three engines of any domain fall silent, five times in a row",
        events=[(at, lose_some(3, True)) for at in LOSSES_S],
    ),
    Pattern(
        "burst",
        "five seconds of three times the usual load, twice",
        rate_per_s=lambda at_s: RATE_PER_S * (3 if 8 <= at_s % 16 < 13 else 1),
    ),
    Pattern(
        "overload",
        "twelve seconds of more than the engines can read",
        rate_per_s=_rate(RATE_PER_S, 18.0, 8.0, 20.0),
    ),
    Pattern(
        "long-prompts",
        "one prompt in ten is as long as four others",
        draw_prompt=_mixed_prompt,
    ),
    Pattern(
        "slow-engines",
        "three engines work at a quarter of their speed for half of the time",
        events=[(8.0, slow_down(3, 4.0, 20.0))],
    ),
    Pattern(
        "thin-traffic",
        "the usual load over thirty instances, and a domain that falls silent",
        n_instances=30,
        events=[(at, lose_domain(n % 3, True)) for n, at in enumerate(LOSSES_S)],
    ),
]

PATTERN_BY_NAME = {pattern.name: pattern for pattern in PATTERNS}


async def play(pattern, policy, seed):
    """Play a pattern under a policy; returns the `Played`.

    Parameters
    ----------
    pattern : Pattern
    policy : Policy
    seed : int
    """
    random.seed(seed)
    traffic = random.Random(seed)
    chance = random.Random(seed + 1)
    outcomes = []
    async with anyio.create_task_group() as group:
        fleet = LabFleet(
            group,
            EngineSpeed(),
            pattern.n_engines,
            3,
            pattern.n_instances,
            policy.choices,
            policy.shares_runs,
        )
        fleet.start()
        begin_s = anyio.current_time()
        for at_s, happen in pattern.events:
            group.start_soon(_happen_at, begin_s + at_s, happen, fleet, chance)
        await _send_requests(pattern, fleet, traffic, begin_s, group, outcomes)
        await anyio.sleep(DRAIN_S)
        group.cancel_scope.cancel()
    return Played(outcomes, list(fleet.engine_by_address.values()))


async def _happen_at(at_s, happen, fleet, chance):
    await anyio.sleep_until(at_s)
    await happen(fleet, chance)


async def _send_requests(pattern, fleet, traffic, begin_s, group, outcomes):
    number = 0
    while True:
        at_s = anyio.current_time() - begin_s
        if at_s >= pattern.for_s:
            return
        await anyio.sleep(traffic.expovariate(pattern.rate_per_s(at_s)))
        outcome = Outcome()
        outcomes.append(outcome)
        instance_numbers = traffic.sample(range(pattern.n_instances), 2)
        n_prompt = pattern.draw_prompt(traffic)
        number += 1
        group.start_soon(
            call, fleet, instance_numbers, f"r{number}", n_prompt, N_OUTPUT, outcome
        )
