"""Tests of process settings: all errors are reported and nothing is started."""

import copy
import json

import pytest
from click.testing import CliRunner

from almonddeal.cli.main import main
from almonddeal.settings import read_entry_settings
from almonddeal_agent.main import SETTINGS_VALIDATOR as AGENT_SETTINGS_VALIDATOR
from almonddeal_common.codes import SETTINGS_INVALID
from almonddeal_common.settings import read_settings

VALID = {
    "instance": "entry0",
    "listen": "127.0.0.1:7000",
    "callers": "127.0.0.1:8000",
    "operators_listen": "127.0.0.1:9000",
    "data_folder": "data",
    "entries": [
        {
            "instance": "entry0",
            "failure_domain": "fd1",
            "address": "127.0.0.1:7000",
            "disk": True,
        }
    ],
}
VALID_AGENT = {
    "instance": "agent0",
    "failure_domain": "fd1",
    "listen": "127.0.0.1:7100",
    "entries": ["127.0.0.1:7000"],
    "target": {"name": "t", "kind": "engine", "address": "127.0.0.1:6000"},
}
INVALID = [
    ({"instance": "Entry 0"}, "$.instance"),
    ({"instance": "entry9"}, "$.instance"),
    ({"listen": "localhost:1"}, "$.listen"),
    ({"listen": 7}, "$.listen"),
    ({"data_folder": None}, "$.data_folder"),
    ({"entries": []}, "$.entries"),
    ({"entries": VALID["entries"] * 2}, "$.entries[1].instance"),
    ({"colour": "red"}, "$"),
    ({"operators": [{"name": "olu"}]}, "$.operators[0]"),
    ({"log": {"level": "LOUD"}}, "$.log.level"),
    ({"stop_timeout_s": -1}, "$.stop_timeout_s"),
    ({"tls": {"key": "k"}}, "$.tls"),
]
INVALID_AGENT = [
    ({"entries": []}, "$.entries"),
    ({"target": {"name": "t", "kind": "boat", "address": "127.0.0.1:1"}}, "$.target"),
    (
        {"target": {"name": "t", "kind": "service", "address": "127.0.0.1:1"}},
        "$.target",
    ),
    ({"metrics": "here"}, "$.metrics"),
]


def write_settings(tmp_path, settings):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings))
    return path


def paths_of(group):
    return [error.path for error in group.exceptions]


class TestEntrySettings:
    def test_valid_settings_are_accepted(self, tmp_path):
        settings = read_entry_settings(write_settings(tmp_path, VALID))
        assert settings.member_names == ["entry0"]

    @pytest.mark.parametrize(("change", "path"), INVALID)
    def test_invalid_setting_is_reported(self, tmp_path, change, path):
        settings = {**copy.deepcopy(VALID), **change}
        with pytest.raises(ExceptionGroup) as caught:
            read_entry_settings(write_settings(tmp_path, settings))
        assert any(found.startswith(path) for found in paths_of(caught.value))

    def test_missing_file_and_malformed_json_are_reported(self, tmp_path):
        with pytest.raises(ExceptionGroup, match="absent"):
            read_entry_settings(tmp_path / "absent.json")
        path = tmp_path / "broken.json"
        path.write_text("{")
        with pytest.raises(ExceptionGroup) as caught:
            read_entry_settings(path)
        assert "valid JSON" in str(caught.value.exceptions[0])

    def test_serve_exits_with_the_status_of_the_code(self, tmp_path):
        path = write_settings(tmp_path, {**VALID, "colour": "red", "listen": 7})
        result = CliRunner().invoke(main, ["serve", str(path)])
        assert result.exit_code == SETTINGS_INVALID.exit_status
        assert result.output.count("error 700") == 2

    def test_check_option_starts_nothing(self, tmp_path):
        path = write_settings(tmp_path, VALID)
        result = CliRunner().invoke(main, ["serve", str(path), "--check"])
        assert (result.exit_code, result.output) == (0, "settings are valid\n")
        assert not (tmp_path / "data").exists()


class TestAgentSettings:
    def test_valid_settings_are_accepted(self, tmp_path):
        assert read_settings(
            write_settings(tmp_path, VALID_AGENT), AGENT_SETTINGS_VALIDATOR
        )

    @pytest.mark.parametrize(("change", "path"), INVALID_AGENT)
    def test_invalid_setting_is_reported(self, tmp_path, change, path):
        settings = {**copy.deepcopy(VALID_AGENT), **change}
        with pytest.raises(ExceptionGroup) as caught:
            read_settings(write_settings(tmp_path, settings), AGENT_SETTINGS_VALIDATOR)
        assert any(found.startswith(path) for found in paths_of(caught.value))
