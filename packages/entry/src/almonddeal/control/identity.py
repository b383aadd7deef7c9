"""The name under which a member of the group votes: it lasts as long as its disk."""

import secrets
from pathlib import Path

from almonddeal.control.members import Members
from almonddeal.control.storage import read_file, write_file
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.gen.ttypes import Snapshot

FILE_NAME = "identity"

log = get_logger("control")


def first_name(address):
    """Return the name of a first member, which its address alone decides."""
    return f"{address}#first"


def load_identity(folder, address, seed_addresses, is_bootstrap):
    """Return the member's name on this disk, choosing one if the disk is empty.

    Parameters
    ----------
    folder : path-like
        Data folder; made if missing.
    address : str
        Link address of this process.
    seed_addresses : list of str
        On the first start of all, those of the first members.
    is_bootstrap : bool

    Returns
    -------
    name : str
    bootstrap_addresses : list of str
        Link addresses of the first members, if this is one of them.
    """
    folder = Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / FILE_NAME
    payload = read_file(path)
    if payload is not None:
        name, *bootstrap_addresses = payload.decode().split(",")
        return name, bootstrap_addresses
    is_founder = is_bootstrap and address in seed_addresses
    name = first_name(address) if is_founder else f"{address}#{secrets.token_hex(6)}"
    bootstrap_addresses = list(seed_addresses) if is_founder else []
    # Name and founders become durable together: a process that ends before it wrote the
    # first members writes them when it starts again.
    write_file(path, ",".join([name, *bootstrap_addresses]).encode())
    log.info("takes the name %s on an empty disk", name)
    return name, bootstrap_addresses


def bootstrap_group(store, bootstrap_addresses):
    """Write the first members into the store of one of them, unless it has members.

    All founders write the same, so that they are one group whoever leads it first.
    """
    if not bootstrap_addresses or store.snapshot.members is not None:
        return
    members = Members(
        {first_name(address): address for address in bootstrap_addresses},
        len(bootstrap_addresses),
    )
    snapshot = Snapshot(store.snapshot.format, 0, 0, b"", members.to_wire())
    store.save_snapshot(snapshot, [])
