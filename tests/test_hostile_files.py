"""Hostile documents, settings and damaged logs: a typed error, or intact content."""

import shutil
import time
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hostile import fuzz
from jasminewharf.decisions.records import COMMAND, Entry, HardState
from jasminewharf.documents import parse_document
from jasminewharf.exceptions import DocumentError, SettingsError, StorageError
from jasminewharf.services.files import DiskFiles
from jasminewharf.services.storage import GroupStorage
from jasminewharf.settings import parse_settings

EXAMPLES = Path(__file__).parent.parent / "examples" / "three-control"
DOCUMENT = (EXAMPLES / "translation.yaml").read_text()
SETTINGS = (EXAMPLES / "agent-1.yaml").read_text()
TIME_LIMIT_S = 10

YAML_PARTS = st.sampled_from(
    [
        *("&a ", "*a", "<<: *a\n", "- ", "? ", ": ", "|\n", "!!binary ", "{", "}"),
        *("[", "]", "\n", "  ", "#", "'", '"', "%YAML 1.1\n", "---\n", "...\n"),
        *("null", ".inf", "1e999", "0x", "9" * 5000, "\x00", "\ud800", "\u2028"),
        *("\ufeff", "workspaces:"),
    ]
)


@st.composite
def damaged(draw, text):
    """Return ``text`` with some pieces replaced."""
    for _ in range(draw(st.integers(1, 4))):
        start = draw(st.integers(0, len(text)))
        end = min(len(text), start + draw(st.integers(0, 8)))
        piece = draw(YAML_PARTS | st.text(max_size=5))
        text = text[:start] + piece + text[end:]
    return text


@fuzz(100)
@given(damaged(DOCUMENT))
def test_damaged_document_is_read_or_refused_with_its_file(text):
    try:
        parse_document(text, "d.yaml")
    except DocumentError as error:
        assert error.file == "d.yaml"
        assert error.reason


@fuzz(100)
@given(damaged(SETTINGS))
def test_damaged_settings_are_read_or_refused_with_their_file(text):
    try:
        parse_settings(text, "s.yaml")
    except SettingsError as error:
        assert error.file == "s.yaml"
        assert error.reason


@pytest.mark.parametrize(
    "text",
    [
        "a: &a [x, x]\nb: &b [*a, *a]\nc: &c [*b, *b]\nd: [*c, *c]\n",
        "a: " + "[" * 100_000,
        "a: " + "{a: " * 3_000,
        "- " * 100_000,
        "a: " + "x" * 300_000,
        "a: |\n" + " x\n" * 90_000,
        "service: [" + "{a: 1}," * 30_000 + "]",
        "a: 1\n" * 40_000,
        "? " * 50_000,
        "",
        "null",
        "\ud800",
    ],
)
def test_yaml_bomb_is_refused_in_bounded_time(text):
    started = time.process_time()
    with pytest.raises(DocumentError):
        parse_document(text, "bomb.yaml")
    assert time.process_time() - started < TIME_LIMIT_S


def write_log(folder):
    storage = GroupStorage(DiskFiles(), str(folder), 7, segment_bytes=400)
    storage.open()
    storage.write([HardState(1, "")])
    for index in range(1, 21):
        storage.write([Entry(index, 1, COMMAND, b"command %d" % index)])
    storage.close()


def read_commands(folder):
    storage = GroupStorage(DiskFiles(), str(folder), 7, segment_bytes=400)
    try:
        return [entry.data for entry in storage.open().entries]
    finally:
        storage.close()


@pytest.fixture(scope="module")
def intact(tmp_path_factory):
    folder = tmp_path_factory.mktemp("log") / "intact"
    write_log(folder)
    assert len(read_commands(folder)) == 20
    return folder


@fuzz(150)
@given(st.data())
def test_damaged_log_is_refused_or_loses_nothing_but_its_tail(intact, data):
    """A damaged command must never be read as another one, nor one be skipped."""
    folder = intact.parent / "damaged"
    shutil.rmtree(folder, ignore_errors=True)
    shutil.copytree(intact, folder)
    path = folder / data.draw(st.sampled_from(sorted(p.name for p in folder.iterdir())))
    content = path.read_bytes()
    kind = data.draw(st.sampled_from(["flip", "cut", "append", "remove", "zero"]))
    position = data.draw(st.integers(0, max(len(content) - 1, 0)))
    if kind == "flip":
        flipped = content[position] ^ data.draw(st.integers(1, 255))
        content = content[:position] + bytes([flipped]) + content[position + 1 :]
    elif kind == "cut":
        content = content[:position]
    elif kind == "append":
        content += data.draw(st.binary(min_size=1, max_size=64))
    elif kind == "zero":
        content = content[:position] + bytes(len(content) - position)
    if kind == "remove":
        path.unlink()
    else:
        path.write_bytes(content)
    expected = [b"command %d" % index for index in range(1, 21)]
    try:
        commands = read_commands(folder)
    except StorageError:
        return
    assert commands == expected[: len(commands)]
    # Only the last frame may be missing: all others are known to be durable.
    assert len(commands) >= 19
