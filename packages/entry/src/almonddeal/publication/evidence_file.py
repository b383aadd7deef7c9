"""Evidence on requests and prompt segments, on the disk of a control instance."""

from almonddeal.announced.evidence import RETENTION_MS
from almonddeal.publication.record_file import RecordFile
from almonddeal_common.clock import wall_ms

FILE_NAME = "evidence"
WRITE_DELAY_S = 0.02  # records of the same crash are written together


def load_evidence(folder):
    """Return the records in a data folder that are not too old, as a list.

    A missing or damaged file counts as empty, as the engines show the same again.

    Parameters
    ----------
    folder : path-like
    """
    oldest_ms = wall_ms() - RETENTION_MS
    stored = RecordFile(folder, FILE_NAME, WRITE_DELAY_S).load()
    return [record for record in stored if record.observed_ms >= oldest_ms]


async def store_evidence(folder, evidence):
    """Store the records whenever there are new ones, until cancelled.

    Parameters
    ----------
    folder : path-like
    evidence : EvidenceStore
    """
    await RecordFile(folder, FILE_NAME, WRITE_DELAY_S).store_changes(evidence)
