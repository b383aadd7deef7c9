"""Commands to run an entry instance and to operate the fleet."""

import json
import time
from pathlib import Path

import click
from click.shell_completion import get_completion_class

from almonddeal.cli.client import OperatorClient
from almonddeal.cli.data import data
from almonddeal.document.validate import SCHEMA, validate_document
from almonddeal.entry_instance import EntryInstance
from almonddeal.settings import read_entry_settings
from almonddeal_common import __version__
from almonddeal_common.checks import CheckError
from almonddeal_common.cli_errors import exit_with_errors
from almonddeal_common.codes import DOCUMENT_INVALID, NOT_IN_FORCE, AlmonddealError
from almonddeal_common.logs import set_up_logging
from almonddeal_common.pending_signals import (
    exit_if_stop_is_pending,
    unblock_signals,
)
from almonddeal_common.run import run_and_exit_early

DEFAULT_URL = "http://127.0.0.1:9001"
WAIT_MS = 20_000


def _read_document(path):
    try:
        return json.loads(Path(path).read_text())
    except OSError as error:
        raise CheckError(DOCUMENT_INVALID, path, error.strerror, "a file") from None
    except ValueError as error:
        raise CheckError(DOCUMENT_INVALID, path, str(error), "valid JSON") from None


@click.group()
@click.version_option(__version__)
@click.option("--url", envvar="ALMONDDEAL_URL", default=DEFAULT_URL, show_default=True)
@click.option(
    "--token", envvar="ALMONDDEAL_TOKEN", default="", help="Operator's token."
)
@click.option("--json", "as_json", is_flag=True, help="Print results as JSON.")
@click.pass_context
def main(context, url, token, as_json):
    """Run an almonddeal entry instance, or operate a fleet."""
    if context.invoked_subcommand != serve.name:
        unblock_signals()
    context.obj = OperatorClient(url, token, as_json)


main.add_command(data)


@main.command()
@click.argument("settings_file", type=click.Path())
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def serve(settings_file, check):
    """Run an entry instance with the settings in a file."""
    with exit_with_errors():
        settings = read_entry_settings(settings_file)
        if check:
            click.echo("settings are valid")
            return
        set_up_logging(
            settings.log.get("level", "INFO"), settings.log.get("json", False)
        )
        exit_if_stop_is_pending()
        run_and_exit_early(EntryInstance(settings).run)


@main.command()
@click.argument("document_file", type=click.Path())
@click.pass_obj
def validate(client, document_file):
    """Check a fleet document without asking any instance."""
    with exit_with_errors():
        validate_document(_read_document(document_file))
        client.show({"valid": True}, ["document is valid"])


@main.command()
@click.argument("document_file", type=click.Path())
@click.pass_obj
def plan(client, document_file):
    """Show what a fleet document would change."""
    with exit_with_errors():
        body = {"document": _read_document(document_file)}
        result = client.request("POST", "/v1/plan", body)
        lines = [f"against version {result['base_version']}:"]
        lines += [f"  {path}" for path in result["changes"]] or ["  nothing"]
        lines += [f"step: {step}" for step in result["steps"]]
        if result["steps"]:
            lines.append(f"lowest capacity on the way: {result['lowest_slots']} slots")
        client.show(result, lines)


@main.command()
@click.argument("document_file", type=click.Path())
@click.option("--base", type=int, help="Version that the document was made from.")
@click.option("--change-id", default="", help="Id that makes a repetition harmless.")
@click.option("--note", default="", help="Reason, for the audit trail.")
@click.option("--wait", is_flag=True, help="Return once it is in force everywhere.")
@click.pass_obj
def apply(client, document_file, base, change_id, note, wait):
    """Have a fleet document accepted."""
    with exit_with_errors():
        body = {
            "document": _read_document(document_file),
            "base_version": base,
            "change_id": change_id,
            "note": note,
            "wait_ms": WAIT_MS if wait else 0,
        }
        result = client.request("POST", "/v1/apply", body)
        _show_change(client, result)


def _show_change(client, result):
    lines = [f"accepted as version {result['version']}"]
    if "in_force" in result:
        lines.append("in force everywhere" if result["in_force"] else "not in force")
    client.show(result, lines)
    if not result.get("in_force", True):
        raise AlmonddealError(NOT_IN_FORCE, "missing: " + ", ".join(result["missing"]))


@main.command()
@click.argument("target")
@click.pass_obj
def drain(client, target):
    """Let a target take nothing new; what runs there is finished."""
    with exit_with_errors():
        _show_change(client, client.request("POST", f"/v1/targets/{target}/drain"))


@main.command()
@click.pass_obj
def export(client):
    """Print the document in force."""
    with exit_with_errors():
        result = client.request("GET", "/v1/document")
        text = json.dumps(result["document"], indent=2, sort_keys=True)
        client.show(result, [text])


@main.command()
@click.pass_obj
def status(client):
    """Show the state of the fleet."""
    with exit_with_errors():
        result = client.request("GET", "/v1/status")
        client.show(result, _status_lines(result))


def _status_lines(result):
    lines = [
        f"version {result['version']}, leader {result['leader']}, "
        f"{result['answers']['working']} answers working"
    ]
    for entry in result["entries"]:
        state = "live" if entry["live"] else "away"
        lines.append(f"entry  {entry['instance']:<20} {state:<8} {entry['version']}")
    for target in result["targets"]:
        state = "live" if target["live"] else "away"
        if target["leaving"]:
            state = "leaving"
        lines.append(
            f"target {target['target']:<20} {state:<8} {target['in_flight']} in flight"
            f"  {', '.join(target['models'])}"
        )
    return lines


@main.command()
@click.option("--since", type=int, default=0, help="Show records after this number.")
@click.pass_obj
def audit(client, since):
    """Show the audit trail."""
    with exit_with_errors():
        result = client.request("GET", f"/v1/audit?since={since}")
        lines = [_audit_line(record) for record in result["records"]]
        if result["chain_broken"] is not None:
            lines.append(f"the chain is broken at record {result['chain_broken']}")
        client.show(result, lines)


def _audit_line(record):
    at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(record["at_ms"] / 1000))
    return (
        f"{record['number']:>5} {at} {record['kind']:<9} version {record['version']} "
        f"by {record['author']} from {record['origin']}: {record['detail']}"
    )


@main.command()
@click.pass_obj
def watch(client):
    """Print each version of the document as it comes into force."""
    with exit_with_errors():
        for event in client.events("/v1/watch"):
            client.show(event, [f"version {event['version']}"])


@main.command()
def schema():
    """Print the JSON Schema of the fleet document."""
    click.echo(json.dumps(SCHEMA.schema, indent=2))


@main.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell):
    """Print the completion script for a shell."""
    script_type = get_completion_class(shell)
    script = script_type(main, {}, "almonddeal", "_ALMONDDEAL_COMPLETE")
    click.echo(script.source())
