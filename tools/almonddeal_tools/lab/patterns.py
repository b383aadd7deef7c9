"""Named patterns of load and faults, under which policies are compared."""

import random

import anyio

from almonddeal_tools.lab.callers import Outcome, request_answer
from almonddeal_tools.lab.fleet import LabFleet
from almonddeal_tools.lab.runs import EngineProfile

RATE_PER_S = 3.1  # request rate of the smaller of the known fleets
N_PROMPT_TOKENS = 5200
N_OUTPUT_TOKENS = 780
OUTAGE_S = 1.2  # outage of a failure domain of that fleet
DRAIN_S = 30.0  # after the last request, until all have ended or timed out


class Pattern:
    """A request load and the faults injected under it.

    Times are in s since the start of the simulation.

    Parameters
    ----------
    name : str
    description : str
        One line, for the command line.
    rate_per_s : callable
        ``rate_per_s(at_s)`` returns the request rate at a time.
    duration_s : float
        Time during which requests are sent.
    draw_n_prompt_tokens : callable
        ``draw_n_prompt_tokens(rng)`` returns the length of a prompt.
    faults : list of (float, callable)
        ``await inject(fleet, rng)`` is called at the given time.
    n_instances, n_engines : int
    """

    __slots__ = (
        "description",
        "draw_n_prompt_tokens",
        "duration_s",
        "faults",
        "n_engines",
        "n_instances",
        "name",
        "rate_per_s",
    )

    def __init__(
        self,
        name,
        description,
        rate_per_s=lambda at_s: RATE_PER_S,
        duration_s=40.0,
        draw_n_prompt_tokens=lambda rng: N_PROMPT_TOKENS,
        faults=(),
        n_instances=5,
        n_engines=12,
    ):
        self.name = name
        self.description = description
        self.rate_per_s = rate_per_s
        self.duration_s = duration_s
        self.draw_n_prompt_tokens = draw_n_prompt_tokens
        self.faults = faults
        self.n_instances = n_instances
        self.n_engines = n_engines


class SimulationResult:
    """Result of one simulation of a pattern under a policy.

    Attributes
    ----------
    outcomes : list of Outcome
    n_prefilled_tokens, n_recomputed_tokens, n_replicated_tokens, n_preemptions : int
        Sums over the engines.
    """

    __slots__ = (
        "n_preemptions",
        "n_prefilled_tokens",
        "n_recomputed_tokens",
        "n_replicated_tokens",
        "outcomes",
    )

    def __init__(self, outcomes, engines):
        self.outcomes = outcomes
        self.n_prefilled_tokens = sum(e.n_prefilled_tokens for e in engines)
        self.n_recomputed_tokens = sum(e.n_recomputed_tokens for e in engines)
        self.n_replicated_tokens = sum(e.n_replicated_tokens for e in engines)
        self.n_preemptions = sum(e.n_preemptions for e in engines)

    def share(self, name):
        """Return the share of outcomes for which a property is true, from 0 to 1."""
        return sum(getattr(o, name) for o in self.outcomes) / len(self.outcomes)


def fail_domain(number, is_partitioned):
    """Return a fault: an outage of all engines of a failure domain."""

    async def inject(fleet, rng):
        await fleet.simulate_outage(
            fleet.engines_in(f"fd{number}"), OUTAGE_S, is_partitioned
        )

    return inject


def fail_random_engines(n_engines, is_partitioned):
    """Return a fault: an outage of some engines, chosen at random."""

    async def inject(fleet, rng):
        engines = rng.sample(list(fleet.engine_by_address.values()), n_engines)
        await fleet.simulate_outage(engines, OUTAGE_S, is_partitioned)

    return inject


def silence_random_engines(n_engines, min_s, max_s):
    """Return a fault: some engines, chosen at random, fall silent and then go on.

    Parameters
    ----------
    n_engines : int
    min_s, max_s : float
        Bounds of the time for which each of them is silent.
    """

    async def inject(fleet, rng):
        for engine in rng.sample(list(fleet.engine_by_address.values()), n_engines):
            engine.fall_silent(rng.uniform(min_s, max_s))

    return inject


def slow_random_engines(n_engines, slowdown, duration_s):
    """Return a fault: some engines, chosen at random, slow down for a time."""

    async def inject(fleet, rng):
        engines = rng.sample(list(fleet.engine_by_address.values()), n_engines)
        for engine in engines:
            engine.slowdown = slowdown
        await anyio.sleep(duration_s)
        for engine in engines:
            engine.slowdown = 1.0

    return inject


def _rate_with_peak(usual_per_s, peak_per_s, start_s, end_s):
    return lambda at_s: peak_per_s if start_s <= at_s < end_s else usual_per_s


def _draw_mixed_n_prompt_tokens(rng):
    return 18_000 if rng.random() < 0.1 else 4000


FAULT_TIMES_S = (6.0, 13.0, 20.0, 27.0, 34.0)
SILENCE_TIMES_S = [5.0 + 1.5 * n for n in range(23)]

PATTERNS = [
    Pattern("steady", "the usual load without faults"),
    Pattern(
        "domain-dark",
        "all engines of one failure domain stop responding, five times in a row",
        faults=[(at, fail_domain(n % 3, True)) for n, at in enumerate(FAULT_TIMES_S)],
    ),
    Pattern(
        "domain-reset",
        "all engines of one failure domain crash, five times in a row",
        faults=[(at, fail_domain(n % 3, False)) for n, at in enumerate(FAULT_TIMES_S)],
    ),
    Pattern(
        "engines-dark",
        "three engines of any failure domain stop responding, five times in a row",
        faults=[(at, fail_random_engines(3, True)) for at in FAULT_TIMES_S],
    ),
    Pattern(
        "engines-silent",
        "six sound engines at a time fall silent for 0.8 to 2.2 s, and go on",
        faults=[(at, silence_random_engines(6, 0.8, 2.2)) for at in SILENCE_TIMES_S],
    ),
    Pattern(
        "burst",
        "five seconds of three times the usual load, twice",
        rate_per_s=lambda at_s: RATE_PER_S * (3 if 8 <= at_s % 16 < 13 else 1),
    ),
    Pattern(
        "overload",
        "twelve seconds of more prompts than the engines can prefill",
        rate_per_s=_rate_with_peak(RATE_PER_S, 18.0, 8.0, 20.0),
    ),
    Pattern(
        "long-prompts",
        "one prompt in ten is 4.5 times as long as the others",
        draw_n_prompt_tokens=_draw_mixed_n_prompt_tokens,
    ),
    Pattern(
        "slow-engines",
        "three engines run at a quarter of their speed for half of the time",
        faults=[(8.0, slow_random_engines(3, 4.0, 20.0))],
    ),
    Pattern(
        "thin-traffic",
        "the usual load over thirty instances; failure domains stop responding",
        n_instances=30,
        faults=[(at, fail_domain(n % 3, True)) for n, at in enumerate(FAULT_TIMES_S)],
    ),
]

PATTERN_BY_NAME = {pattern.name: pattern for pattern in PATTERNS}


async def simulate(pattern, policy, seed):
    """Simulate a pattern under a policy.

    Parameters
    ----------
    pattern : Pattern
    policy : Policy
    seed : int

    Returns
    -------
    result : SimulationResult
    """
    random.seed(seed)
    traffic_rng = random.Random(seed)
    fault_rng = random.Random(seed + 1)
    outcomes = []
    async with anyio.create_task_group() as group:
        fleet = LabFleet(
            group,
            EngineProfile(),
            pattern.n_engines,
            3,
            pattern.n_instances,
            policy.selection,
            policy.shares_runs,
        )
        fleet.start()
        start_s = anyio.current_time()
        for at_s, inject in pattern.faults:
            group.start_soon(_inject_at, start_s + at_s, inject, fleet, fault_rng)
        await _send_requests(pattern, fleet, traffic_rng, start_s, group, outcomes)
        await anyio.sleep(DRAIN_S)
        group.cancel_scope.cancel()
    return SimulationResult(outcomes, list(fleet.engine_by_address.values()))


async def _inject_at(at_s, inject, fleet, rng):
    await anyio.sleep_until(at_s)
    await inject(fleet, rng)


async def _send_requests(pattern, fleet, traffic_rng, start_s, group, outcomes):
    number = 0
    while True:
        at_s = anyio.current_time() - start_s
        if at_s >= pattern.duration_s:
            return
        await anyio.sleep(traffic_rng.expovariate(pattern.rate_per_s(at_s)))
        outcome = Outcome()
        outcomes.append(outcome)
        instance_indexes = traffic_rng.sample(range(pattern.n_instances), 2)
        n_prompt_tokens = pattern.draw_n_prompt_tokens(traffic_rng)
        number += 1
        group.start_soon(
            request_answer,
            fleet,
            instance_indexes,
            f"r{number}",
            n_prompt_tokens,
            N_OUTPUT_TOKENS,
            outcome,
        )
