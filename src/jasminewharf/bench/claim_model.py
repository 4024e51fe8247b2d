"""An adversarial model of order claims for seeded schedules.

Entries claim, run, record and release orders; messages are lost, duplicated and
reordered; entries die; the leader's wall clock jumps; the state machine is replaced
by a copy restored from its snapshot.
"""

import random
from typing import Any, NamedTuple

from ..decisions.claims import ClaimLog
from ..defaults import CLAIM_WINDOW_MS
from ..messages.claims import EndEntry, MakeClaim, SettleClaim, WithdrawClaim
from ..messages.codec import decode, encode
from ..messages.control import ClaimAnswer
from .histories import ClaimState, Operation, apply_claim, find_violation

__all__ = ["ClaimModel", "Execution", "find_repeated_run", "run_claim_schedule"]

_HOUR_MS = 3_600_000
_SKEW_MS = 100_000
_KEYS = 3
_ENTRIES = 3
_WORKSPACE = "workspace"
_ABSENT = ClaimState("absent", "", "", "")


class Execution(NamedTuple):
    """An order reached a backend server; times are true milliseconds."""

    key: str
    claimed_ms: float
    answer: str


def find_repeated_run(executions: list[Execution]) -> str | None:
    """Return a key that ran twice within the window, or None."""
    last: dict[str, float] = {}
    for execution in sorted(executions, key=lambda e: e.claimed_ms):
        before = last.get(execution.key)
        if before is not None and execution.claimed_ms - before < CLAIM_WINDOW_MS:
            return execution.key
        last[execution.key] = execution.claimed_ms
    return None


class _Call:
    def __init__(self, key: str, digest: str, request_id: str, entry: int) -> None:
        self.key = key
        self.digest = digest
        self.request_id = request_id
        self.entry = entry
        self.claimed_ms = 0.0
        self.phase = "claiming"


class _Sent(NamedTuple):
    command: Any
    operation: int


class ClaimModel:
    """Entries, messages and one partition's state machine.

    Args:
        source: Decides choices and delays.
    """

    def __init__(self, source: random.Random) -> None:
        self.random = source
        self.time_ms = 1_000_000 * float(_HOUR_MS)
        self.executions: list[Execution] = []
        self.wrong_answers: list[str] = []
        self.operations: list[Operation] = []
        self._machine = ClaimLog()
        self._index = 0
        self._leader_offset_ms = 0.0
        self._lives = _ENTRIES
        self._entries = list(range(_ENTRIES))
        self._calls: dict[str, _Call] = {}
        self._count = 0
        self._to_log: list[_Sent] = []
        self._to_entries: list[tuple[str, int, ClaimAnswer]] = []

    def do_call(self) -> None:
        """A caller sends or resends an order, sometimes with another body."""
        self._count += 1
        key = f"key-{self.random.randrange(_KEYS)}"
        digest = "other" if self.random.random() < 0.05 else "body"
        entry = self.random.choice(self._entries)
        call = _Call(key, digest, f"r{self._count}", entry)
        self._calls[call.request_id] = call
        self._send_claim(call)

    def _send_claim(self, call: _Call) -> None:
        command = MakeClaim(
            workspace=_WORKSPACE,
            idempotency_key=call.key,
            digest=call.digest,
            request_id=call.request_id,
            entry="entry",
            incarnation=call.entry,
            entry_ms=self._entry_ms(call.entry),
            leader_ms=0,
        )
        self._send(command, "claim", (call.digest, call.request_id))

    def _entry_ms(self, entry: int) -> int:
        """Return the wall clock of an entry; it deviates within the skew."""
        return int(self.time_ms) + (entry % 3 - 1) * _SKEW_MS

    def _send(self, command: Any, name: str, arguments: tuple[Any, ...]) -> None:
        self._to_log.append(_Sent(command, len(self.operations)))
        self.operations.append(
            Operation(command.idempotency_key, self.time_ms, 0.0, name, arguments, None)
        )

    def do_resend(self) -> None:
        """An entry repeats a claim that was not answered."""
        claiming = [c for c in self._calls.values() if c.phase == "claiming"]
        if claiming:
            self._send_claim(self.random.choice(claiming))

    def do_deliver(self) -> None:
        """The log commits any command in flight."""
        if self._to_log:
            at = self.random.randrange(len(self._to_log))
            self._commit(self._to_log.pop(at))

    def do_duplicate(self) -> None:
        """The log commits any command in flight and keeps it in flight."""
        if self._to_log:
            at = self.random.randrange(len(self._to_log))
            sent = self._to_log[at]
            self._commit(sent)
            # The copy may take effect on its own, so it is an operation of its own.
            self._to_log[at] = _Sent(sent.command, len(self.operations))
            self.operations.append(
                self.operations[sent.operation]._replace(result=None)
            )

    def do_lose(self) -> None:
        """Lose a command or an answer."""
        messages = self.random.choice((self._to_log, self._to_entries))
        if messages:
            del messages[self.random.randrange(len(messages))]

    def _commit(self, sent: _Sent) -> None:
        self._end_dead_holder(sent.command.idempotency_key)
        leader_ms = int(self.time_ms + self._leader_offset_ms)
        answer = self._apply(sent.command._replace(leader_ms=leader_ms))
        self._to_entries.append((sent.command.request_id, sent.operation, answer))

    def _apply(self, command: Any) -> ClaimAnswer:
        self._index += 1
        return decode(self._machine.apply(self._index, encode(command)))

    def _end_dead_holder(self, key: str) -> None:
        record = self._machine.find(_WORKSPACE, key)
        if record is None or record.state != "running":
            return
        if record.incarnation in self._entries:
            return
        for other in range(_KEYS):
            found = self._machine.find(_WORKSPACE, f"key-{other}")
            if found and found.incarnation == record.incarnation:
                self.operations.append(
                    Operation(
                        f"key-{other}",
                        self.time_ms,
                        self.time_ms,
                        "end",
                        (found.request_id,),
                        () if found.state == "running" else None,
                    )
                )
        self._apply(EndEntry(record.incarnation))

    def do_answer(self) -> None:
        """An entry receives an answer."""
        if not self._to_entries:
            return
        at = self.random.randrange(len(self._to_entries))
        request_id, number, answer = self._to_entries.pop(at)
        operation = self.operations[number]
        if operation.name != "claim":
            result: tuple[Any, ...] = ()
        elif answer.state == "done":
            result = ("done", answer.body.decode())
        else:
            result = (answer.state,)
        self.operations[number] = operation._replace(
            returned=self.time_ms, result=result
        )
        call = self._calls.get(request_id)
        if operation.name == "claim" and call and call.phase == "claiming":
            self._take(call, answer)

    def _take(self, call: _Call, answer: ClaimAnswer) -> None:
        if answer.state == "running":
            return
        call.phase = "ended"
        if answer.state == "claimed":
            call.phase = "running"
            call.claimed_ms = self.time_ms
        elif answer.state == "done":
            self._check_answer(call, answer.body.decode())
        elif answer.state == "conflict" and not self._key_has_two_bodies(call.key):
            self.wrong_answers.append(f"{call.request_id}: conflict")

    def _check_answer(self, call: _Call, text: str) -> None:
        ran = {e.answer for e in self.executions if e.key == call.key}
        if text not in ran or call.digest not in text:
            self.wrong_answers.append(f"{call.request_id}: {text}")

    def _key_has_two_bodies(self, key: str) -> bool:
        return len({c.digest for c in self._calls.values() if c.key == key}) > 1

    def do_run(self) -> None:
        """A call that holds a claim runs, or turns out not to have begun."""
        running = [c for c in self._calls.values() if c.phase == "running"]
        if not running:
            return
        call = self.random.choice(running)
        call.phase = "ended"
        if self.random.random() < 0.3:
            self._release(call)
            return
        answer = f"{call.request_id} {call.digest}"
        self.executions.append(Execution(call.key, call.claimed_ms, answer))
        if self.random.random() < 0.8:
            self._record(call, answer)

    def _record(self, call: _Call, answer: str) -> None:
        command = SettleClaim(
            workspace=_WORKSPACE,
            idempotency_key=call.key,
            request_id=call.request_id,
            outcome="done",
            status=200,
            headers=[],
            body=answer.encode(),
            entry_ms=self._entry_ms(call.entry),
            leader_ms=0,
        )
        self._send(command, "record", (call.request_id, answer))

    def _release(self, call: _Call) -> None:
        command = WithdrawClaim(
            workspace=_WORKSPACE,
            idempotency_key=call.key,
            digest=call.digest,
            request_id=call.request_id,
            entry_ms=self._entry_ms(call.entry),
            leader_ms=0,
        )
        self._send(command, "release", (call.request_id, call.digest))

    def do_give_up(self) -> None:
        """A caller leaves before its claim is answered; the entry releases it."""
        claiming = [c for c in self._calls.values() if c.phase == "claiming"]
        if claiming:
            call = self.random.choice(claiming)
            call.phase = "ended"
            self._release(call)

    def do_crash(self) -> None:
        """An entry dies in the middle of its calls."""
        at = self.random.randrange(len(self._entries))
        dead, self._entries[at] = self._entries[at], self._lives
        self._lives += 1
        for call in self._calls.values():
            if call.entry == dead and call.phase == "running":
                # It may have forwarded the order before it died.
                answer = f"{call.request_id} {call.digest}"
                self.executions.append(Execution(call.key, call.claimed_ms, answer))
            if call.entry == dead:
                call.phase = "ended"

    def do_jump_leader(self) -> None:
        """The leader's clock jumps by days in either direction, or is set right."""
        self._leader_offset_ms = self.random.choice((-90.0, -20.0, 0.0, 30.0, 9000.0))
        self._leader_offset_ms *= _HOUR_MS

    def do_restore(self) -> None:
        """A member restarts from a snapshot."""
        copy = ClaimLog()
        copy.restore(self._machine.snapshot())
        self._machine = copy

    def do_wait(self) -> None:
        """Let time pass."""
        self.time_ms += self.random.choice((1.0, 100.0, 60_000.0))

    def do_wait_long(self) -> None:
        """Let hours pass, so that windows end; what is in flight is lost."""
        self.time_ms += self.random.uniform(1, 30) * _HOUR_MS
        self._to_log.clear()
        self._to_entries.clear()
        for call in self._calls.values():
            call.phase = "ended"

    def find_unlinearizable(self) -> str | None:
        """Return a key whose history is not linearizable; needs one window."""
        return find_violation(self.operations, _ABSENT, apply_claim)


_STEPS = {
    ClaimModel.do_call: 3,
    ClaimModel.do_resend: 1,
    ClaimModel.do_deliver: 6,
    ClaimModel.do_duplicate: 1,
    ClaimModel.do_lose: 0.3,
    ClaimModel.do_answer: 6,
    ClaimModel.do_run: 3,
    ClaimModel.do_give_up: 0.3,
    ClaimModel.do_crash: 0.1,
    ClaimModel.do_jump_leader: 0.2,
    ClaimModel.do_restore: 0.1,
    ClaimModel.do_wait: 1,
    ClaimModel.do_wait_long: 0.2,
}


def run_claim_schedule(seed: int, steps: int, *, long: bool) -> ClaimModel:
    """Run a random schedule; ``long`` ones span many windows."""
    source = random.Random(seed)
    model = ClaimModel(source)
    choices = [s for s in _STEPS if long or s is not ClaimModel.do_wait_long]
    weights = [_STEPS[step] for step in choices]
    for _ in range(steps):
        source.choices(choices, weights)[0](model)
    return model
