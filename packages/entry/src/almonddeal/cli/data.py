"""Commands for the data folder of a stopped entry instance."""

import json

import click

from almonddeal.control.constants import KIND_COMMAND
from almonddeal.control.state import ControlState
from almonddeal.control.storage import LogStore
from almonddeal_common.cli_errors import exit_with_errors
from almonddeal_common.codes import DATA_DAMAGED, AlmonddealError
from almonddeal_common.wire.codec import decode
from almonddeal_common.wire.gen.ttypes import Command


def _raise_damaged(reason):
    raise AlmonddealError(DATA_DAMAGED, reason)


def _rebuild_state(store):
    """Return the state after applying all stored entries, committed or not."""
    state = ControlState()
    if store.snapshot.state:
        state.restore(store.snapshot.state)
    for entry in store.entries:
        if entry.kind == KIND_COMMAND:
            state.apply(entry.index, decode(Command, entry.command))
    return state


@click.group()
def data():
    """Examine a data folder while its process is stopped."""


@data.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def verify(folder):
    """Check every record and the audit chain in a data folder."""
    with exit_with_errors(), LogStore(folder, _raise_damaged) as store:
        state = _rebuild_state(store)
        broken_record = state.audit.first_broken_record()
        if broken_record is not None:
            raise AlmonddealError(DATA_DAMAGED, f"audit record {broken_record}")
        click.echo(
            f"term {store.meta.term}, snapshot at {store.snapshot.index}, "
            f"{len(store.entries)} entries after it, "
            f"document version {state.document.version}, "
            f"{len(state.audit)} audit records, {len(state.ledger)} orders"
        )


@data.command("export")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def export_data(folder):
    """Print the document and the audit trail of a data folder as JSON lines."""
    with exit_with_errors(), LogStore(folder, _raise_damaged) as store:
        state = _rebuild_state(store)
        version = state.document.version
        click.echo(json.dumps({"version": version, "document": state.document.raw}))
        for record in state.audit.since(0):
            click.echo(json.dumps({"audit": record.as_dict()}))
