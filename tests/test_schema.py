"""Bad settings and documents must be refused with file, line, path and reason."""

import pytest

from jasminewharf.documents import parse_document
from jasminewharf.exceptions import DocumentError, SettingsError
from jasminewharf.settings import parse_settings

GOOD = """\
service: translation
kind: model
pool: lingua-pool
models:
  - name: menu-vi-en
    checkpoint: menu-7b
    memory_mb: 14000
    adapters:
      - {name: pho-house, memory_mb: 60}
workspaces:
  - workspace: hanoi
    rate_tokens_per_s: 1000
    burst_tokens: 5000
"""


def test_good_document_is_read():
    document = parse_document(GOOD, "a.yaml")
    assert document.models[0].adapters[0].name == "pho-house"
    assert document.find_access("hanoi").burst_tokens == 5000


@pytest.mark.parametrize(
    ("old", "new", "line", "path"),
    [
        ("kind: model", "kind: modle", 2, "kind"),
        ("memory_mb: 14000", "memory_mb: lots", 7, "models[0].memory_mb"),
        ("memory_mb: 14000", "memory_mb: -1", 7, "models[0].memory_mb"),
        ("burst_tokens", "burst_token", 13, "workspaces[0].burst_token"),
        ("pool: lingua-pool", "service: other", 3, "service"),
        ("pool: lingua-pool\n", "", 1, "pool"),
        ("name: pho-house", "name: menu-vi-en", 0, "models"),
    ],
)
def test_error_names_line_and_path(old, new, line, path):
    with pytest.raises(DocumentError) as caught:
        parse_document(GOOD.replace(old, new), "a.yaml")
    assert (caught.value.file, caught.value.line) == ("a.yaml", line)
    assert caught.value.path == path


def test_aliases_are_refused_before_they_expand():
    bomb = "service: &a [x]\nkind: model\npool: *a\nworkspaces: [*a, *a]\n"
    with pytest.raises(DocumentError):
        parse_document(bomb, "bomb.yaml")
    bomb = GOOD.replace("hanoi", "&a hanoi").replace("lingua-pool", "lp")
    with pytest.raises(DocumentError, match="alias"):
        parse_document(bomb.replace("5000", "5000\n  - workspace: *a"), "bomb.yaml")


def test_deep_nesting_is_refused():
    with pytest.raises(DocumentError):
        parse_document("service: " + "[" * 5000, "deep.yaml")


def test_control_settings_must_list_the_node():
    text = "node: c9\nrole: control\nzone: a\ncontrol: [{name: c1, address: '127.0.0.1:1', peer_address: '127.0.0.1:2'}]\n"  # noqa: E501
    with pytest.raises(SettingsError, match="does not list"):
        parse_settings(text, "s.yaml")
