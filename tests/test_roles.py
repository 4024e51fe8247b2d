"""What a process of a role loads: guards against memory that hundreds of them pay."""

import subprocess
import sys
from importlib import import_module

import pytest

from jasminewharf.interfaces.roles import DOCUMENT_ROLES, FLEET_ROLES

_PRINT_MODULES = """
import sys
import jasminewharf.interfaces.running
import jasminewharf.interfaces.{module}
print(*sys.modules)
"""


def list_modules(module):
    code = _PRINT_MODULES.format(module=module)
    found = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    return set(found.stdout.split())


@pytest.mark.parametrize("module", ["fleetentry", "fleetagent", "fleetcontrol"])
def test_process_started_from_a_checkout_has_no_command_line(module):
    """Option parser, help texts and their renderer are a fifth of an idle process."""
    assert not list_modules(module) & {"cappa", "rich", "markdown_it", "pygments"}


@pytest.mark.parametrize("module", ["fleetentry", "fleetagent"])
def test_process_without_a_log_does_not_load_its_code(module):
    loaded = list_modules(module)
    assert "jasminewharf.services.log" not in loaded
    assert "jasminewharf.services.planner" not in loaded


@pytest.mark.parametrize("role", ["entry", "agent", "control"])
@pytest.mark.parametrize(
    ("family", "roles"), [("document", DOCUMENT_ROLES), ("fleet", FLEET_ROLES)]
)
def test_every_role_is_found_by_its_name(family, roles, role):
    """Roles are imported by name, so that a lost module would show only at a start."""
    import_module(f"jasminewharf.interfaces.{family}{role}")
    assert role in roles
