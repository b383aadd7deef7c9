"""Output of measured figures, and percentiles."""

import json

import click
from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 3


class Distribution:
    """A histogram of times in ms, stored with a resolution of 1 us."""

    def __init__(self):
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)

    @property
    def n_values(self):
        """Number of recorded values."""
        return self._histogram.get_total_count()

    def record(self, value_ms):
        """Record a time in ms."""
        self._histogram.record_value(max(LOWEST_US, int(value_ms * 1000)))

    def percentile_ms(self, percentile):
        """Return the value of a percentile in ms."""
        return self._histogram.get_value_at_percentile(percentile) / 1000


def print_figure(name, value, unit, goal=None, baseline=None, **extra):
    """Print one figure as a JSON line.

    Parameters
    ----------
    name : str
    value : float
    unit : str
    goal : str, optional
        Required value, such as ``"under 25"``.
    baseline : float, optional
        The same figure without the product or its optimisation, from the same run.
    """
    line = {
        "name": name,
        "value": round(value, 4),
        "unit": unit,
        "goal": goal,
        "baseline": None if baseline is None else round(baseline, 4),
        **extra,
    }
    click.echo(json.dumps(line))


def percentile(values, rank):
    """Return a percentile of a list by the nearest-rank method."""
    ordered = sorted(values)
    position = max(0, min(len(ordered) - 1, round(rank / 100 * len(ordered)) - 1))
    return ordered[position]
