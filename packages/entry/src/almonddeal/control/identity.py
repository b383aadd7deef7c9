"""Member name under which a process votes; it is bound to its data folder."""

import secrets
from pathlib import Path

from almonddeal.control.members import Members
from almonddeal.control.storage import read_file, write_file
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.gen.ttypes import Snapshot

FILE_NAME = "identity"

log = get_logger("control")


def bootstrap_name(address):
    """Return the member name of a bootstrap voter, derived from its address alone."""
    return f"{address}#first"


def load_identity(folder, address, seed_addresses, is_bootstrap):
    """Return the member name stored in a data folder, choosing one if it is empty.

    Parameters
    ----------
    folder : path-like
        Data folder; created if missing.
    address : str
        Link address of this process.
    seed_addresses : list of str
        On a bootstrap, the link addresses of the initial voters.
    is_bootstrap : bool
        Whether the group is started for the first time.

    Returns
    -------
    name : str
    bootstrap_addresses : list of str
        Link addresses of the initial voters; empty if this is not one of them.
    """
    folder = Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / FILE_NAME
    payload = read_file(path)
    if payload is not None:
        name, *bootstrap_addresses = payload.decode().split(",")
        return name, bootstrap_addresses
    is_bootstrap_voter = is_bootstrap and address in seed_addresses
    name = (
        bootstrap_name(address)
        if is_bootstrap_voter
        else f"{address}#{secrets.token_hex(6)}"
    )
    bootstrap_addresses = list(seed_addresses) if is_bootstrap_voter else []
    # Name and initial voters are stored together: a process that ends before it wrote
    # the initial members to its log store writes them at its next start.
    write_file(path, ",".join([name, *bootstrap_addresses]).encode())
    log.info("data folder is empty, member name is now %s", name)
    return name, bootstrap_addresses


def bootstrap_group(store, bootstrap_addresses):
    """Store the initial members on one of them, unless its store has members.

    Each of them stores the same members, so that they form one group whichever is
    elected first.
    """
    if not bootstrap_addresses or store.snapshot.members is not None:
        return
    members = Members(
        {bootstrap_name(address): address for address in bootstrap_addresses},
        len(bootstrap_addresses),
    )
    snapshot = Snapshot(store.snapshot.format, 0, 0, b"", members.to_wire())
    store.save_snapshot(snapshot, [])
