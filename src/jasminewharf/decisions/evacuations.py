"""Which availability zones are evacuated, as the log group ``fleet`` decides it."""

from collections.abc import Iterable
from typing import NamedTuple

from ..exceptions import EvacuationOvertaken
from ..messages.commands import CommandResult
from ..messages.evacuations import SetEvacuation

__all__ = ["EvacuationTable", "ZoneState"]


class ZoneState(NamedTuple):
    """The state of an availability zone.

    ``revision`` is the log index of the command that set it, 0 before the first one.
    """

    zone: str
    revision: int = 0
    is_evacuated: bool = False


class EvacuationTable:
    """The states of all availability zones that were ever evacuated or restored.

    Attributes:
        evacuated: The names of the evacuated ones.
    """

    def __init__(self, states: Iterable[ZoneState] = ()) -> None:
        self._states = {state.zone: state for state in states}
        self.evacuated: frozenset[str] = frozenset()
        self._index()

    def find(self, zone: str) -> ZoneState:
        """Return the state of a zone."""
        return self._states.get(zone) or ZoneState(zone)

    def list_states(self) -> list[ZoneState]:
        """Return all states in the order of their names."""
        return [self._states[zone] for zone in sorted(self._states)]

    def apply(self, index: int, command: SetEvacuation) -> CommandResult:
        """Apply a command that names the revision its control host had confirmed.

        A call that asks for the present state moves the revision as well, unless the
        revision has moved since: otherwise an opposite call that is still on its way
        would take effect after it.
        """
        state = self.find(command.zone)
        if command.revision == state.revision:
            self._states[command.zone] = ZoneState(
                command.zone, index, command.is_evacuated
            )
            self._index()
            text = "evacuated" if command.is_evacuated else "open"
            return CommandResult("", text, index)
        if command.is_evacuated == state.is_evacuated:
            return CommandResult("", "held", state.revision)
        return CommandResult(
            EvacuationOvertaken.__name__, "a later call has changed it", state.revision
        )

    def _index(self) -> None:
        self.evacuated = frozenset(
            state.zone for state in self._states.values() if state.is_evacuated
        )
