"""Records that entry instances reported, on the disk of a control instance.

A record is a fact that needs no agreement, so each control instance stores what it has
received. The files matter once all processes have stopped at the same time.
"""

from pathlib import Path
from threading import Thread

import anyio
from anyio import to_thread

from almonddeal.control.files import read_checksummed_file, write_checksummed_file
from almonddeal_common.codes import AlmonddealError
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.codec import decode, encode
from almonddeal_common.wire.gen.ttypes import ShareRuns

RETRY_INTERVAL_S = 1.0  # after a failed write, such as on a full disk
LAST_WRITE_TIMEOUT_S = 0.3
LAST_WRITE_CHECK_INTERVAL_S = 0.002

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

        When cancelled, stores those that are not stored yet, if the disk permits that
        within `LAST_WRITE_TIMEOUT_S`.

        Parameters
        ----------
        store : VersionedMap
        """
        stored_revision = store.revision
        try:
            while True:
                while store.revision == stored_revision:
                    await store.wait()
                await anyio.sleep(self._write_delay_s)
                revision = store.revision
                if await to_thread.run_sync(self._write, self._encode(store)):
                    stored_revision = revision
                else:
                    await anyio.sleep(RETRY_INTERVAL_S)
        except anyio.get_cancelled_exc_class():
            if store.revision != stored_revision:
                await self._write_last(self._encode(store))
            raise

    def _encode(self, store):
        return encode(ShareRuns([], True, **{self._name: store.values()}))

    def _write(self, payload):
        """Replace the file; return whether that succeeded."""
        try:
            write_checksummed_file(self._path, payload)
        except OSError as error:
            log.warning("could not store %s: %s", self._name, error)
            return False
        return True

    async def _write_last(self, payload):
        # The exit of the process does not wait for a daemon thread.
        thread = Thread(target=self._write, args=(payload,), daemon=True)
        thread.start()
        with anyio.move_on_after(LAST_WRITE_TIMEOUT_S, shield=True):
            while thread.is_alive():
                await anyio.sleep(LAST_WRITE_CHECK_INTERVAL_S)
        if thread.is_alive():
            log.warning("could not store %s in time", self._name)
