"""Entry point: collects the subcommands and runs one."""

import dataclasses
import importlib
import pkgutil
from typing import Union

import cappa

from . import __name__ as _package
from . import __path__ as _package_path
from .commands import COMMANDS

__all__ = ["main"]

_PREFIX = "command_"


def main(argv: list[str] | None = None) -> int:
    """Run the subcommand that ``argv`` names and return the exit code."""
    for module in pkgutil.iter_modules(_package_path):
        if module.name.startswith(_PREFIX):
            importlib.import_module(f"{_package}.{module.name}")
    choices = Union[tuple(COMMANDS.values())]
    fields = [("command", cappa.Subcommands[choices])]
    bench = cappa.command(name=f"python -m {_package}")(
        dataclasses.make_dataclass("Bench", fields)
    )
    return cappa.invoke(bench, argv=argv) or 0


if __name__ == "__main__":
    raise SystemExit(main())
