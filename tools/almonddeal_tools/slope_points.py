"""Output of measured series, and the target state that the measurements use."""

import json

import click

from almonddeal_common.wire.gen.ttypes import Load, ModelState, TargetState

N_MODELS = 18


def print_series(name, unit, points):
    """Print a series as a JSON line, with the slope from its first to its last point.

    Parameters
    ----------
    name : str
    unit : str
        Unit of the values.
    points : list of (float, float)
        Size and value at it.
    """
    (size_a, value_a), (size_b, value_b) = points[0], points[-1]
    slope = (value_b - value_a) / (size_b - size_a)
    line = {
        "name": name,
        "unit": unit,
        "points": [[size, round(value, 4)] for size, value in points],
        "slope": float(f"{slope:.4g}"),
    }
    click.echo(json.dumps(line))


def make_target_state(number):
    """Return the `TargetState` of an engine in a fleet as expected in two years."""
    return TargetState(
        target=f"engine{number}",
        instance=f"agent{number}",
        incarnation=1_700_000_000_000_000_000,
        failure_domain=f"fd{number % 6}",
        host="10.0.0.1",
        port=7000,
        kind="engine",
        service_name="",
        labels={"pool": "a"},
        models=[ModelState(f"m{number % N_MODELS}", "v1", [])],
        load=Load(10, 0, 64, 100_000, 30.0, 200),
        stopping=False,
        sequence=100_000,
        document_version=5000,
        n_in_flight=10,
        cache_epoch=0,
        evicted_keys=[],
        role="",
    )
