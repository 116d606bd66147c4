"""Tests of the command-line interface."""

import pytest

from foxtailseam import __version__
from foxtailseam.cli import main


class TestMain:
    def test_version(self, capsys):
        assert main(["--version"]) == 0
        assert capsys.readouterr().out.strip() == __version__

    @pytest.mark.parametrize(
        ("text", "code", "expected"),
        [
            ("* limit 3  # Ops\n", 0, "valid, 1 rules"),
            ("* limit 3\n", 1, "line 1, column 10"),
            ("", 1, "at least one rule"),
        ],
    )
    def test_check_rules(self, tmp_path, capsys, text, code, expected):
        path = tmp_path / "rules"
        path.write_text(text)
        assert main(["check_rules", str(path)]) == code
        captured = capsys.readouterr()
        assert expected in captured.out + captured.err

    def test_check_settings_names_the_key(self, tmp_path, capsys):
        path = tmp_path / "settings.yaml"
        path.write_text("process: 3")
        assert main(["check_settings", str(path)]) == 1
        assert "process" in capsys.readouterr().err

    def test_an_unreachable_process_is_reported(self, capsys):
        assert main(["status", "127.0.0.1:1"]) == 3
        assert "127.0.0.1:1" in capsys.readouterr().err
