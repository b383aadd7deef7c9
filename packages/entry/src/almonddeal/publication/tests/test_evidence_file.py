"""Tests of the evidence on the disk of a control instance."""

import anyio
import pytest

from almonddeal.announced.evidence import RETENTION_MS, EvidenceStore
from almonddeal.publication import record_file
from almonddeal.publication.evidence_file import (
    FILE_NAME,
    load_evidence,
    store_evidence,
)
from almonddeal_common.clock import wall_ms
from almonddeal_common.wire.gen.ttypes import SegmentEvidence


def make_record(key, age_ms=0):
    return SegmentEvidence(
        key=key,
        instance="entry-1",
        prefix_hashes=["h"],
        is_sound=False,
        observed_ms=wall_ms() - int(age_ms),
    )


def store(folder, *records):
    """Store records, added to a store one after the other."""

    async def main():
        evidence = EvidenceStore()
        async with anyio.create_task_group() as group:
            group.start_soon(store_evidence, folder, evidence)
            for record in records:
                await anyio.sleep(0.01)
                evidence.add(record)
            await anyio.sleep(0.2)
            group.cancel_scope.cancel()

    anyio.run(main)


class TestEvidenceFile:
    def test_stored_records_are_loaded(self, tmp_path):
        store(tmp_path, make_record("e1"), make_record("e2"))
        assert [record.key for record in load_evidence(tmp_path)] == ["e1", "e2"]

    def test_new_folder_has_no_records(self, tmp_path):
        assert load_evidence(tmp_path) == []

    def test_old_records_are_left_out(self, tmp_path):
        store(tmp_path, make_record("e1", RETENTION_MS + 1000), make_record("e2"))
        assert [record.key for record in load_evidence(tmp_path)] == ["e2"]

    @pytest.mark.parametrize("size", [0, 3, 10, -1])
    def test_damaged_file_counts_as_empty(self, tmp_path, caplog, size):
        store(tmp_path, make_record("e1"))
        path = tmp_path / FILE_NAME
        path.write_bytes(path.read_bytes()[:size])
        assert load_evidence(tmp_path) == []
        assert "ignored the stored evidence" in caplog.text

    def test_full_disk_ends_nothing_and_is_tried_again(
        self, tmp_path, monkeypatch, caplog
    ):
        n_failures = 0
        write = record_file.write_checksummed_file

        def fail_once(path, payload):
            nonlocal n_failures
            if not n_failures:
                n_failures += 1
                raise OSError(28, "no space left")
            write(path, payload)

        monkeypatch.setattr(record_file, "write_checksummed_file", fail_once)
        monkeypatch.setattr(record_file, "RETRY_INTERVAL_S", 0.02)
        store(tmp_path, make_record("e1"))
        assert [record.key for record in load_evidence(tmp_path)] == ["e1"]
        assert "could not store evidence" in caplog.text
