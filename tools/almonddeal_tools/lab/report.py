"""Summary statistics and plots of simulated patterns and policies."""

import json

from hdrh.histogram import HdrHistogram
from matplotlib.figure import Figure

MAX_LATENCY_MS = 60_000  # above the timeout of callers, 25 s
N_SIGNIFICANT_DIGITS = 3
PERCENTILES = [0.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0]


class Summary:
    """Statistics over all simulations of one pattern under one policy.

    Parameters
    ----------
    pattern, policy : str
        Names.
    """

    __slots__ = (
        "_n_requests_by_property",
        "first_event_ms",
        "max_gap_ms",
        "n_preemptions",
        "n_prefilled_tokens",
        "n_replicated_tokens",
        "n_requests",
        "n_seeds",
        "pattern",
        "policy",
    )

    def __init__(self, pattern, policy):
        self.pattern = pattern
        self.policy = policy
        self.n_seeds = 0
        self.n_requests = 0
        self.n_prefilled_tokens = 0
        self.n_replicated_tokens = 0
        self.n_preemptions = 0
        self.first_event_ms = HdrHistogram(1, MAX_LATENCY_MS, N_SIGNIFICANT_DIGITS)
        self.max_gap_ms = HdrHistogram(1, MAX_LATENCY_MS, N_SIGNIFICANT_DIGITS)
        self._n_requests_by_property = dict.fromkeys(
            ("is_on_time", "is_complete", "is_refused", "is_in_order"), 0
        )

    def add(self, result):
        """Add the result of one simulation.

        Parameters
        ----------
        result : SimulationResult
        """
        self.n_seeds += 1
        self.n_requests += len(result.outcomes)
        self.n_prefilled_tokens += result.n_prefilled_tokens
        self.n_replicated_tokens += result.n_replicated_tokens
        self.n_preemptions += result.n_preemptions
        for outcome in result.outcomes:
            for name in self._n_requests_by_property:
                self._n_requests_by_property[name] += getattr(outcome, name)
            if outcome.first_event_ms is not None:
                self.first_event_ms.record_value(max(1, round(outcome.first_event_ms)))
                self.max_gap_ms.record_value(max(1, round(outcome.max_gap_ms)))

    def share(self, name):
        """Return the share of requests for which a property of `Outcome` is true.

        Parameters
        ----------
        name : {"is_on_time", "is_complete", "is_refused", "is_in_order"}

        Returns
        -------
        share : float
            From 0 to 1.
        """
        return self._n_requests_by_property[name] / max(1, self.n_requests)

    def as_dict(self):
        """Return the statistics by name."""
        return {
            "pattern": self.pattern,
            "policy": self.policy,
            "seeds": self.n_seeds,
            "requests": self.n_requests,
            "on_time": round(self.share("is_on_time"), 3),
            "complete": round(self.share("is_complete"), 3),
            "refused": round(self.share("is_refused"), 3),
            "in_order": round(self.share("is_in_order"), 3),
            "first_p50_ms": self.first_event_ms.get_value_at_percentile(50),
            "first_p99_ms": self.first_event_ms.get_value_at_percentile(99),
            "gap_p50_ms": self.max_gap_ms.get_value_at_percentile(50),
            "gap_p99_ms": self.max_gap_ms.get_value_at_percentile(99),
            "read_tokens_a_request": round(self.n_prefilled_tokens / self.n_requests),
            "moved_tokens_a_request": round(self.n_replicated_tokens / self.n_requests),
            "preempted": self.n_preemptions,
        }


def format_json_line(summary):
    """Return the statistics of a summary as a line of JSON."""
    return json.dumps(summary.as_dict())


def plot_on_time_shares(summaries, path):
    """Plot the share of answers on time by pattern and policy.

    Parameters
    ----------
    summaries : list of Summary
    path : path-like
        The file suffix selects the image format.
    """
    patterns = list(dict.fromkeys(s.pattern for s in summaries))
    policies = list(dict.fromkeys(s.policy for s in summaries))
    figure = Figure(figsize=(1.5 + 1.6 * len(patterns), 4.5), layout="constrained")
    axes = figure.subplots()
    width = 0.8 / len(policies)
    share_by_key = {(s.pattern, s.policy): s.share("is_on_time") for s in summaries}
    for number, policy in enumerate(policies):
        bar_positions = [p + number * width for p in range(len(patterns))]
        shares = [share_by_key.get((pattern, policy), 0.0) for pattern in patterns]
        axes.bar(bar_positions, shares, width, label=policy)
    axes.set_xticks([p + 0.4 - width / 2 for p in range(len(patterns))], patterns)
    axes.set_ylabel("share of answers on time")
    axes.set_ylim(0.0, 1.0)
    axes.legend(ncols=len(policies), loc="lower center", bbox_to_anchor=(0.5, 1.0))
    figure.savefig(path)


def plot_first_event_percentiles(summaries, path):
    """Plot the percentiles of the time to the first event for one pattern.

    Parameters
    ----------
    summaries : list of Summary
        One for each policy, all of the same pattern.
    path : path-like
        The file suffix selects the image format.
    """
    figure = Figure(figsize=(7.0, 4.5), layout="constrained")
    axes = figure.subplots()
    for summary in summaries:
        values = [
            summary.first_event_ms.get_value_at_percentile(p) for p in PERCENTILES
        ]
        labels = [f"{percentile:g}" for percentile in PERCENTILES]
        axes.plot(labels, values, marker="o", label=summary.policy)
    axes.set_xlabel(f"percentile, pattern {summaries[0].pattern}")
    axes.set_ylabel("time to the first event, ms")
    axes.set_yscale("log")
    axes.legend()
    figure.savefig(path)
