"""Figures and plots of patterns that were played under policies."""

import json

from hdrh.histogram import HdrHistogram
from matplotlib.figure import Figure

MAX_MS = 60_000  # a caller waits 25 s
N_DIGITS = 3
PERCENTILES = [0.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0]


class Summary:
    """Sums over all runs of one pattern under one policy.

    Parameters
    ----------
    pattern, policy : str
        Names.
    """

    __slots__ = (
        "_n_by_outcome",
        "first_ms",
        "gap_ms",
        "n_moved_tokens",
        "n_outcomes",
        "n_preempted",
        "n_read_tokens",
        "n_seeds",
        "pattern",
        "policy",
    )

    def __init__(self, pattern, policy):
        self.pattern = pattern
        self.policy = policy
        self.n_seeds = 0
        self.n_outcomes = 0
        self.n_read_tokens = 0
        self.n_moved_tokens = 0
        self.n_preempted = 0
        self.first_ms = HdrHistogram(1, MAX_MS, N_DIGITS)
        self.gap_ms = HdrHistogram(1, MAX_MS, N_DIGITS)
        self._n_by_outcome = dict.fromkeys(
            ("is_on_time", "is_complete", "is_refused", "is_in_order"), 0
        )

    def add(self, played):
        """Add one run.

        Parameters
        ----------
        played : Played
        """
        self.n_seeds += 1
        self.n_outcomes += len(played.outcomes)
        self.n_read_tokens += played.n_read_tokens
        self.n_moved_tokens += played.n_moved_tokens
        self.n_preempted += played.n_preempted
        for outcome in played.outcomes:
            for name in self._n_by_outcome:
                self._n_by_outcome[name] += getattr(outcome, name)
            if outcome.first_ms is not None:
                self.first_ms.record_value(max(1, round(outcome.first_ms)))
                self.gap_ms.record_value(max(1, round(outcome.max_gap_ms)))

    def share(self, name):
        """Return the share of all requests with an outcome, from 0 to 1."""
        return self._n_by_outcome[name] / max(1, self.n_outcomes)

    def as_dict(self):
        """Return the figures by name."""
        return {
            "pattern": self.pattern,
            "policy": self.policy,
            "seeds": self.n_seeds,
            "requests": self.n_outcomes,
            "on_time": round(self.share("is_on_time"), 3),
            "complete": round(self.share("is_complete"), 3),
            "refused": round(self.share("is_refused"), 3),
            "in_order": round(self.share("is_in_order"), 3),
            "first_p50_ms": self.first_ms.get_value_at_percentile(50),
            "first_p99_ms": self.first_ms.get_value_at_percentile(99),
            "gap_p50_ms": self.gap_ms.get_value_at_percentile(50),
            "gap_p99_ms": self.gap_ms.get_value_at_percentile(99),
            "read_tokens_a_request": round(self.n_read_tokens / self.n_outcomes),
            "moved_tokens_a_request": round(self.n_moved_tokens / self.n_outcomes),
            "preempted": self.n_preempted,
        }


def as_line(summary):
    """Return the figures of a summary as a line of JSON."""
    return json.dumps(summary.as_dict())


def plot_shares(summaries, path):
    """Draw the share of answers on time, by pattern and policy.

    Parameters
    ----------
    summaries : list of Summary
    path : path-like
        Its ending decides on the format.
    """
    patterns = list(dict.fromkeys(s.pattern for s in summaries))
    policies = list(dict.fromkeys(s.policy for s in summaries))
    figure = Figure(figsize=(1.5 + 1.6 * len(patterns), 4.5), layout="constrained")
    axes = figure.subplots()
    width = 0.8 / len(policies)
    share_by_key = {(s.pattern, s.policy): s.share("is_on_time") for s in summaries}
    for number, policy in enumerate(policies):
        places = [p + number * width for p in range(len(patterns))]
        shares = [share_by_key.get((pattern, policy), 0.0) for pattern in patterns]
        axes.bar(places, shares, width, label=policy)
    axes.set_xticks([p + 0.4 - width / 2 for p in range(len(patterns))], patterns)
    axes.set_ylabel("share of answers on time")
    axes.set_ylim(0.0, 1.0)
    axes.legend(ncols=len(policies), loc="lower center", bbox_to_anchor=(0.5, 1.0))
    figure.savefig(path)


def plot_first_events(summaries, path):
    """Draw the time to the first event over its percentiles, for one pattern.

    Parameters
    ----------
    summaries : list of Summary
        Of one pattern.
    path : path-like
    """
    figure = Figure(figsize=(7.0, 4.5), layout="constrained")
    axes = figure.subplots()
    for summary in summaries:
        values = [summary.first_ms.get_value_at_percentile(p) for p in PERCENTILES]
        labels = [f"{percentile:g}" for percentile in PERCENTILES]
        axes.plot(labels, values, marker="o", label=summary.policy)
    axes.set_xlabel(f"percentile, pattern {summaries[0].pattern}")
    axes.set_ylabel("time to the first event, ms")
    axes.set_yscale("log")
    axes.legend()
    figure.savefig(path)
