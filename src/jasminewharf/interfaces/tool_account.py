"""``jasminewharf account``: refusals over the rate and late streams, one by one."""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Annotated, Any, Literal

import cappa

from ..exceptions import LinesNotFound
from ..logreading import read_lines
from ..rateaccount import RATE_EVENTS, gather_refusals, render_refusals
from ..streamaccount import STREAM_EVENTS, gather_late_streams, render_late_streams
from .tool_base import Progress, ToolCommand

__all__ = ["AccountCommand"]


@cappa.command(
    name="account",
    help="Account for refusals over the rate and for late streams.",
    description=(
        "Each 429 with workspace, rate, burst, window and what was granted where; each "
        "late stream with its server, the load known there and what ran beside it. "
        "Example: jasminewharf account --of refusals /var/log/jasminewharf/*.log"
    ),
)
@dataclass(kw_only=True)
class AccountCommand(ToolCommand):
    """Account for refusals over the rate and for late streams."""

    of: Annotated[
        Literal["all", "refusals", "late"],
        cappa.Arg(long=True, help="What is accounted for."),
    ] = "all"
    files: Annotated[list[str], cappa.Arg(num_args=-1, help="Log files.")]

    async def run(self, progress: Progress) -> None:
        """Show the account."""
        payload: dict[str, Any] = {}
        texts: list[str] = []
        if self.of in ("all", "refusals"):
            refusals = gather_refusals(self._read(RATE_EVENTS))
            payload["refusals"] = _describe(refusals)
            texts.append(render_refusals(refusals))
        if self.of in ("all", "late"):
            late = gather_late_streams(self._read(STREAM_EVENTS))
            payload["late"] = _describe(late)
            texts.append(render_late_streams(late))
        self.show(payload, "\n".join(texts))

    def _read(self, numbers: Collection[int]) -> list[dict[str, Any]]:
        try:
            return list(read_lines(self.files, numbers))
        except OSError as error:
            raise LinesNotFound(f"{error.filename}: {error.strerror}") from error


def _describe(account: Any) -> dict[str, Any]:
    return {
        name: [row._asdict() for row in value] if isinstance(value, list) else value
        for name, value in account._asdict().items()
    }
