"""Figures and the percentiles behind them."""

import json

import click
from hdrh.histogram import HdrHistogram

LOWEST = 1
HIGHEST = 120_000_000
DIGITS = 3


class Distribution:
    """A histogram of times in milliseconds, kept in microseconds."""

    def __init__(self):
        self._histogram = HdrHistogram(LOWEST, HIGHEST, DIGITS)

    @property
    def n_values(self):
        """Number of recorded values."""
        return self._histogram.get_total_count()

    def record(self, value_ms):
        """Record one time in ms."""
        self._histogram.record_value(max(LOWEST, int(value_ms * 1000)))

    def at(self, percentile):
        """Return a percentile in ms."""
        return self._histogram.get_value_at_percentile(percentile) / 1000


def show(name, value, unit, goal=None, baseline=None, **more):
    """Print one figure as a JSON line.

    Parameters
    ----------
    name : str
    value : float
    unit : str
    goal : str, optional
        The stated target, in words.
    baseline : float, optional
        The same figure of the naive way, measured in the same run.
    """
    line = {
        "name": name,
        "value": round(value, 4),
        "unit": unit,
        "goal": goal,
        "baseline": None if baseline is None else round(baseline, 4),
        **more,
    }
    click.echo(json.dumps(line))


def percentile(values, rank):
    """Return a percentile of a list by the nearest rank."""
    ordered = sorted(values)
    position = max(0, min(len(ordered) - 1, round(rank / 100 * len(ordered)) - 1))
    return ordered[position]
