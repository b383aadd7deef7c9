"""Tests of the result codes."""

from pathlib import Path

from almonddeal_common.codes import CODE_BY_NUMBER, OK, AlmonddealError, error_from_wire

TABLE = Path(__file__).resolve().parents[5] / "docs" / "RESULT_CODES.md"


def _documented_rows():
    rows = []
    for line in TABLE.read_text().splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if len(cells) == 7 and cells[0].isdigit():
            rows.append(cells)
    return rows


class TestResultCodes:
    def test_documentation_matches_table(self):
        expected = [
            [
                str(code.number),
                code.name,
                str(code.http_status),
                str(code.exit_status),
                code.was_run,
                code.retry,
                code.meaning,
            ]
            for code in CODE_BY_NUMBER.values()
        ]
        assert _documented_rows() == expected

    def test_exit_statuses_are_unique_and_below_126(self):
        statuses = [code.exit_status for code in CODE_BY_NUMBER.values()]
        assert len(set(statuses)) == len(statuses)
        assert max(statuses) < 126

    def test_json_has_was_run_and_retry(self):
        code = CODE_BY_NUMBER[200]
        error = AlmonddealError(code, "too fast", retry_after_ms=120.0).as_json()[
            "error"
        ]
        assert error["was_run"] == "no"
        assert error["retry"] == {"after_ms": 120.0}

    def test_unknown_number_is_internal(self):
        assert error_from_wire(99999, "x").code.name == "INTERNAL"
        assert error_from_wire(OK.number, None).detail == ""
