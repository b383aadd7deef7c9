"""Evidence on requests and prompt segments, on the disk of a control instance.

A record is a fact that needs no agreement, so each control instance stores what it has
received. The file matters once all processes have stopped at the same time.
"""

from pathlib import Path

import anyio
from anyio import to_thread

from almonddeal.announced.evidence import RETENTION_MS
from almonddeal.control.storage import read_checksummed_file, write_checksummed_file
from almonddeal_common.clock import wall_ms
from almonddeal_common.codes import AlmonddealError
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.codec import decode, encode
from almonddeal_common.wire.gen.ttypes import ShareRuns

FILE_NAME = "evidence"
WRITE_DELAY_S = 0.02  # records of the same crash are written together
RETRY_INTERVAL_S = 1.0  # after a failed write, such as on a full disk

log = get_logger("feed")


def load_evidence(folder):
    """Return the records in a data folder that are not too old, as a list.

    A missing or damaged file counts as empty, as the engines show the same again.

    Parameters
    ----------
    folder : path-like
    """
    try:
        payload = read_checksummed_file(Path(folder) / FILE_NAME)
        stored = [] if payload is None else decode(ShareRuns, payload).evidence
    except (AlmonddealError, OSError, EOFError, TypeError, ValueError) as error:
        log.warning("ignored the stored evidence: %s", error)
        return []
    oldest_ms = wall_ms() - RETENTION_MS
    return [record for record in stored if record.observed_ms >= oldest_ms]


async def store_evidence(folder, evidence):
    """Store the records whenever there are new ones, until cancelled.

    Parameters
    ----------
    folder : path-like
    evidence : EvidenceStore
    """
    path = Path(folder) / FILE_NAME
    stored_revision = evidence.revision
    while True:
        while evidence.revision == stored_revision:
            await evidence.wait()
        await anyio.sleep(WRITE_DELAY_S)
        revision = evidence.revision
        payload = encode(ShareRuns([], True, evidence.values()))
        try:
            await to_thread.run_sync(write_checksummed_file, path, payload)
            stored_revision = revision
        except OSError as error:
            log.warning("could not store evidence: %s", error)
            await anyio.sleep(RETRY_INTERVAL_S)
