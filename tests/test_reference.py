"""Pages must say what the code does."""

import re
from pathlib import Path

import pytest

from jasminewharf import exceptions
from jasminewharf.exceptions import Refusal
from jasminewharf.interfaces.exits import EXIT_CODES
from jasminewharf.reference import PAGES
from jasminewharf.settings import load_settings, load_tool_settings

ROOT = Path(__file__).parent.parent
OPERATIONS = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")


@pytest.mark.parametrize("page", sorted(PAGES))
def test_generated_page_is_up_to_date(page):
    """Run ``python -m jasminewharf.reference --write`` after a change."""
    text = (ROOT / "docs" / f"{page}.md").read_text(encoding="utf-8")
    assert text == PAGES[page]()


def test_exit_codes_are_documented():
    section = OPERATIONS.partition("## Exit codes")[2]
    rows = re.findall(r"^\| (\d+) \| (.*) \|$", section, re.MULTILINE)
    assert {int(code): text for code, text in rows} == EXIT_CODES


def test_every_refusal_is_documented_with_its_status():
    section = OPERATIONS.partition("## Read a refusal")[2].partition("\n## ")[0]
    documented = {
        (int(status), kind)
        for status, kinds in re.findall(
            r"^\| (\d{3}) \| (.*?) \|", section, re.MULTILINE
        )
        for kind in re.findall("`([a-z_]+)`", kinds)
    }
    kinds = [getattr(exceptions, name) for name in exceptions.__all__]
    refusals = [kind for kind in kinds if issubclass(kind, Refusal)]
    defined = {(kind.status, kind.kind) for kind in refusals if kind is not Refusal}
    assert documented == defined


@pytest.mark.parametrize(
    "path", sorted((ROOT / "examples" / "three-control").glob("*-?.yaml"))
)
def test_example_settings_are_acceptable(path):
    assert load_settings(str(path)).node == path.stem


def test_example_tool_settings_are_acceptable():
    path = ROOT / "examples" / "three-control" / "tool.yaml"
    assert len(load_tool_settings(str(path)).control) == 3
