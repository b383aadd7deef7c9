"""Member name under which a process votes; it is bound to its data folder."""

import secrets
from pathlib import Path

import anyio

from almonddeal.control.files import (
    read_checksummed_file,
    refused_on_full_disk,
    replace_checksummed_file,
)
from almonddeal.control.members import Members
from almonddeal.control.storage import LogStore
from almonddeal_common.codes import STORAGE_FULL, AlmonddealError
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.gen.ttypes import Snapshot

FILE_NAME = "identity"
OPEN_RETRY_INTERVAL_S = 0.2  # while the disk is full

log = get_logger("control")


def initial_voter_name(address):
    """Return the member name of an initial voter, derived from its address alone."""
    return f"{address}#first"


def load_identity(folder, address, seed_addresses, is_bootstrap):
    """Return the member name stored in a data folder; if none, choose and store one.

    A new name is durable once the `LogStore` of the folder is open.

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

    Raises
    ------
    AlmonddealError
        `STORAGE_FULL`
    """
    folder = Path(folder)
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
    with refused_on_full_disk(FILE_NAME):
        folder.mkdir(parents=True, exist_ok=True)
        replace_checksummed_file(path, ",".join([name, *initial_addresses]).encode())
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


async def open_member_store(folder, address, seed_addresses, is_bootstrap, end_process):
    """Open the log store of this process; wait while its disk is full.

    Parameters
    ----------
    folder, address, seed_addresses, is_bootstrap
        As for `load_identity`.
    end_process : callable
        As for `LogStore`.

    Returns
    -------
    name : str
        Member name.
    store : LogStore
        The caller exits it.
    """
    store = LogStore(folder, end_process)
    while True:
        try:
            name, initial_addresses = load_identity(
                folder, address, seed_addresses, is_bootstrap
            )
            store.__enter__()
            store_initial_members(store, initial_addresses)
            return name, store
        except AlmonddealError as error:
            store.__exit__(None, None, None)
            if error.code != STORAGE_FULL:
                raise
            log.warning("cannot start yet: %s", error)
        await anyio.sleep(OPEN_RETRY_INTERVAL_S)
