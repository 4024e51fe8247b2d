"""The registry of subcommands.

A module named ``command_*.py`` in this package defines a cappa command and enters
it with ``@register(COMMANDS, name)``; ``__main__`` imports all such modules.
"""

__all__ = ["COMMANDS"]

COMMANDS: dict[str, type] = {}
