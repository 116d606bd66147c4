"""Checks that the reference page lists exactly the settings."""

from dataclasses import fields
from pathlib import Path

from foxtailseam.settings import Settings

PAGE = Path(__file__).parents[3] / "docs" / "settings.md"


class TestSettingsPage:
    def test_each_section_lists_its_keys(self):
        sections = dict(
            part.split("\n", 1) for part in PAGE.read_text().split("\n## ")[1:]
        )
        for section in fields(Settings):
            keys = {f"`{key.name}`" for key in fields(section.type)}
            rows = sections[section.name].splitlines()
            found = {row.split(" | ")[0][2:] for row in rows if row.startswith("| `")}
            assert found == keys
