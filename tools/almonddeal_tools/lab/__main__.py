"""Simulates load patterns under policies: ``python -m almonddeal_tools.lab``."""

import logging
from pathlib import Path

import click

from almonddeal_common.virtual_time import run_in_virtual_time
from almonddeal_tools.lab.patterns import PATTERN_BY_NAME, PATTERNS, simulate
from almonddeal_tools.lab.policies import POLICIES, POLICY_BY_NAME
from almonddeal_tools.lab.report import (
    Summary,
    format_json_line,
    plot_first_event_percentiles,
    plot_on_time_shares,
)


def simulate_seeds(pattern_name, policy_name, n_seeds, first_seed=1):
    """Simulate a pattern under a policy with several seeds.

    Parameters
    ----------
    pattern_name, policy_name : str
    n_seeds : int
    first_seed : int
        Seeds count up from it.

    Returns
    -------
    summary : Summary
    """
    summary = Summary(pattern_name, policy_name)
    pattern, policy = PATTERN_BY_NAME[pattern_name], POLICY_BY_NAME[policy_name]
    for seed in range(first_seed, first_seed + n_seeds):
        summary.add(run_in_virtual_time(simulate, pattern, policy, seed))
    return summary


@click.group()
def main():
    """Experiments on where work goes, on simulated engines."""


@main.command("list")
def list_names():
    """Print the patterns and the policies."""
    for kind, items in (("pattern", PATTERNS), ("policy", POLICIES)):
        for item in items:
            click.echo(f"{kind:8} {item.name:14} {item.description}")


@main.command()
@click.option("--pattern", "patterns", multiple=True, help="All if none is given.")
@click.option("--policy", "policies", multiple=True, help="All if none is given.")
@click.option("--seeds", default=3, show_default=True, type=click.IntRange(1))
@click.option("--plots", type=click.Path(file_okay=False), help="Folder for plots.")
@click.option("--show-log", is_flag=True, help="Print what the relay logs.")
def run(patterns, policies, seeds, plots, show_log):
    """Play patterns under policies and print a line of JSON for each pair."""
    _check_names_known(patterns, PATTERN_BY_NAME, "--pattern")
    _check_names_known(policies, POLICY_BY_NAME, "--policy")
    if not show_log:
        logging.disable(logging.CRITICAL)
    summaries = []
    for pattern in patterns or PATTERN_BY_NAME:
        pattern_summaries = []
        for policy in policies or POLICY_BY_NAME:
            pattern_summaries.append(simulate_seeds(pattern, policy, seeds))
            click.echo(format_json_line(pattern_summaries[-1]))
        summaries += pattern_summaries
        if plots:
            folder = Path(plots)
            folder.mkdir(parents=True, exist_ok=True)
            plot_first_event_percentiles(
                pattern_summaries, folder / f"first-{pattern}.svg"
            )
    if plots:
        plot_on_time_shares(summaries, Path(plots) / "on-time.svg")


def _check_names_known(names, known_names, option):
    for name in names:
        if name not in known_names:
            detail = f"{name!r} is not one of {sorted(known_names)}"
            raise click.BadParameter(detail, param_hint=option)


if __name__ == "__main__":
    main()
