"""Member name under which a process votes; it is bound to its data folder."""

import secrets
from pathlib import Path

from almonddeal.control.files import read_checksummed_file, write_checksummed_file
from almonddeal.control.members import Members
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.gen.ttypes import Snapshot

FILE_NAME = "identity"

log = get_logger("control")


def initial_voter_name(address):
    """Return the member name of an initial voter, derived from its address alone."""
    return f"{address}#first"


def load_identity(folder, address, seed_addresses, is_bootstrap):
    """Return the member name stored in a data folder; if none, choose and store one.

    Parameters
    ----------
    folder : path-like
        Data folder; created if missing.
    address : str
        Link address of this process.
    seed_addresses : list of str
        On the first start, the link addresses of the initial voters.
    is_bootstrap : bool
        Whether the group is started for the first time.

    Returns
    -------
    name : str
    initial_addresses : list of str
        Link addresses of the initial voters; empty if this is not one of them.
    """
    folder = Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / FILE_NAME
    payload = read_checksummed_file(path)
    if payload is not None:
        name, *initial_addresses = payload.decode().split(",")
        return name, initial_addresses
    is_initial_voter = is_bootstrap and address in seed_addresses
    name = (
        initial_voter_name(address)
        if is_initial_voter
        else f"{address}#{secrets.token_hex(6)}"
    )
    initial_addresses = list(seed_addresses) if is_initial_voter else []
    # Name and initial voters are stored together: a process that ends before it wrote
    # the initial members to its log store writes them at its next start.
    write_checksummed_file(path, ",".join([name, *initial_addresses]).encode())
    log.info("data folder has no identity, member name is now %s", name)
    return name, initial_addresses


def store_initial_members(store, initial_addresses):
    """Store the initial voters as members on one of them, unless it has members.

    Each of them stores the same members, so that they form one group whichever is
    elected first.
    """
    if not initial_addresses or store.snapshot.members is not None:
        return
    members = Members(
        {initial_voter_name(address): address for address in initial_addresses},
        len(initial_addresses),
    )
    snapshot = Snapshot(store.snapshot.format, 0, 0, b"", members.to_wire())
    store.save_snapshot(snapshot, [])
