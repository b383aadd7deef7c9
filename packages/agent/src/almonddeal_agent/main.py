"""Command-line entry point of the agent."""

import click

from almonddeal_agent.run import Agent
from almonddeal_common import __version__
from almonddeal_common.checks import load_schema
from almonddeal_common.cli_errors import exit_with_errors
from almonddeal_common.logs import set_up_logging
from almonddeal_common.pending_signals import exit_if_stop_is_pending
from almonddeal_common.run import run_and_exit_early
from almonddeal_common.settings import read_settings

SETTINGS_VALIDATOR = load_schema("almonddeal_agent", "settings.schema.json")


@click.command()
@click.version_option(__version__)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.argument("settings_file", type=click.Path())
def main(settings_file, check):
    """Run the almonddeal process beside one target."""
    with exit_with_errors():
        settings = read_settings(settings_file, SETTINGS_VALIDATOR)
        if check:
            click.echo("settings are valid")
            return
        log_settings = settings.get("log", {})
        set_up_logging(
            log_settings.get("level", "INFO"), log_settings.get("json", False)
        )
        exit_if_stop_is_pending()
        run_and_exit_early(Agent(settings).run)
