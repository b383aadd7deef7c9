"""Records that entry instances reported, on the disk of a control instance.

A record is a fact that needs no agreement, so each control instance stores what it has
received. The files matter once all processes have stopped at the same time.
"""

from pathlib import Path

import anyio
from anyio import to_thread

from almonddeal.control.files import read_checksummed_file, write_checksummed_file
from almonddeal_common.codes import AlmonddealError
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.codec import decode, encode
from almonddeal_common.wire.gen.ttypes import ShareRuns

RETRY_INTERVAL_S = 1.0  # after a failed write, such as on a full disk

log = get_logger("feed")


class RecordFile:
    """File with all records of a store.

    Parameters
    ----------
    folder : path-like
    name : str
        Name of the file, and of the field of `ShareRuns` that holds the records.
    write_delay_s : float
        Records that arrive within it are written together.
    """

    __slots__ = ("_name", "_path", "_write_delay_s")

    def __init__(self, folder, name, write_delay_s):
        self._path = Path(folder) / name
        self._name = name
        self._write_delay_s = write_delay_s

    def load(self):
        """Return the stored records as a list; a missing or damaged file has none."""
        try:
            payload = read_checksummed_file(self._path)
            if payload is None:
                return []
            return getattr(decode(ShareRuns, payload), self._name) or []
        except (AlmonddealError, OSError, EOFError, TypeError, ValueError) as error:
            log.warning("ignored the stored %s: %s", self._name, error)
            return []

    async def store_changes(self, store):
        """Store the records of a store whenever there are new ones, until cancelled.

        Parameters
        ----------
        store : VersionedMap
        """
        stored_revision = store.revision
        while True:
            while store.revision == stored_revision:
                await store.wait()
            await anyio.sleep(self._write_delay_s)
            revision = store.revision
            payload = encode(ShareRuns([], True, **{self._name: store.values()}))
            try:
                await to_thread.run_sync(write_checksummed_file, self._path, payload)
                stored_revision = revision
            except OSError as error:
                log.warning("could not store %s: %s", self._name, error)
                await anyio.sleep(RETRY_INTERVAL_S)
