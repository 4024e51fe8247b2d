"""Outlier detection for backend servers and failure detection for nodes."""

from collections import deque
from collections.abc import Collection, Sequence
from typing import NamedTuple

from .. import defaults

__all__ = ["HealthLimits", "OutlierDetector", "FailureDetector"]


class HealthLimits(NamedTuple):
    """Thresholds for the ejection and readmission of a backend server."""

    window_s: float = defaults.HEALTH_WINDOW_S
    consecutive_failures: int = defaults.HEALTH_CONSECUTIVE_FAILURES
    failure_share: float = defaults.HEALTH_FAILURE_SHARE
    min_calls: int = defaults.HEALTH_MIN_CALLS
    ejection_s: float = defaults.HEALTH_EJECTION_S
    ejection_max_s: float = defaults.HEALTH_EJECTION_MAX_S
    probation_successes: int = defaults.HEALTH_PROBATION_SUCCESSES
    max_ejected_share: float = defaults.HEALTH_MAX_EJECTED_SHARE
    silence_s: float = defaults.HEALTH_SILENCE_S


_LIMITS = HealthLimits()


class _Record:
    __slots__ = (
        "consecutive",
        "ejected_until",
        "ejections",
        "failed",
        "probation",
        "results",
        "silent_at",
        "waived",
    )

    def __init__(self) -> None:
        self.results: deque[tuple[float, bool]] = deque()
        self.failed = 0
        self.consecutive = 0
        self.ejected_until: float | None = None
        self.ejections = 0
        self.probation = 0
        self.silent_at = float("-inf")
        # What an ejection for silence has replaced: ejections and probation.
        self.waived: tuple[int, int] | None = None


class OutlierDetector:
    """Ejects backend servers that fail and readmits them on probation.

    Hysteresis: several failures eject a server. It returns after a time that doubles
    with each ejection, and is then on probation, in which a single failure ejects it
    again, until it has answered several calls. At most a share of a pool is ejected,
    since more failures indicate a cause that all servers have in common.
    """

    def __init__(self, limits: HealthLimits = _LIMITS) -> None:
        self._limits = limits
        self._records: dict[str, _Record] = {}

    def record(self, backend: str, succeeded: bool, now: float) -> bool:
        """Record the result of a call; return True if it ejected the server."""
        record = self._records.setdefault(backend, _Record())
        self._forget_old(record, now)
        record.results.append((now, succeeded))
        if succeeded:
            self._count_success(record)
            return False
        record.failed += 1
        record.consecutive += 1
        if record.ejected_until is not None and now < record.ejected_until:
            return False
        if not self._is_outlier(record):
            return False
        self._eject(record, now)
        return True

    def record_silence(self, backend: str, now: float) -> bool:
        """Record a call that went on elsewhere as its server was silent.

        All calls of one silence count once: a sound server may fall silent too.

        Returns:
            Whether it ejected the server.
        """
        record = self._records.setdefault(backend, _Record())
        if now - record.silent_at < self._limits.silence_s:
            return False
        record.silent_at = now
        return self.record(backend, False, now)

    def eject(self, backend: str, now: float) -> bool:
        """Eject a silent server at once; return False if it is already ejected."""
        if self.is_ejected(backend, now):
            return False
        record = self._records.setdefault(backend, _Record())
        before = record.ejections, record.probation
        self._eject(record, now)
        record.waived = before
        return True

    def readmit(self, backend: str, now: float) -> None:
        """Take back the ejection of a server that was silent and is heard again.

        One that failed calls stays ejected.
        """
        record = self._records.get(backend)
        if record is None or record.waived is None or not self.is_ejected(backend, now):
            return
        record.ejections, record.probation = record.waived
        record.ejected_until = None
        record.waived = None

    def is_ejected(self, backend: str, now: float) -> bool:
        """Return whether the server is ejected, regardless of ``max_ejected_share``."""
        record = self._records.get(backend)
        if record is None or record.ejected_until is None:
            return False
        return now < record.ejected_until

    def usable(self, backends: Sequence[str], now: float) -> list[str]:
        """Return the servers of a pool that may be chosen.

        At most ``max_ejected_share`` of them, rounded down, are left out: those whose
        ejection ends last.
        """
        ejected = [name for name in backends if self.is_ejected(name, now)]
        permitted = int(len(backends) * self._limits.max_ejected_share)
        if len(ejected) > permitted:
            ejected.sort(key=lambda name: self._records[name].ejected_until or 0.0)
            ejected = ejected[len(ejected) - permitted :]
        left_out = set(ejected)
        return [name for name in backends if name not in left_out]

    def forget(self, backend: str) -> None:
        """Discard the record of a server that is gone or has restarted."""
        self._records.pop(backend, None)

    def retain(self, backends: Collection[str]) -> None:
        """Discard the records of all servers but these."""
        self._records = {n: r for n, r in self._records.items() if n in backends}

    def _forget_old(self, record: _Record, now: float) -> None:
        horizon = now - self._limits.window_s
        while record.results and record.results[0][0] < horizon:
            _, succeeded = record.results.popleft()
            if not succeeded:
                record.failed -= 1

    def _count_success(self, record: _Record) -> None:
        record.consecutive = 0
        if record.probation > 0:
            record.probation -= 1
            if record.probation == 0:
                record.ejections = 0

    def _is_outlier(self, record: _Record) -> bool:
        limits = self._limits
        if record.probation > 0:
            return True
        if record.consecutive >= limits.consecutive_failures:
            return True
        calls = len(record.results)
        return calls >= limits.min_calls and (
            record.failed >= limits.failure_share * calls
        )

    def _eject(self, record: _Record, now: float) -> None:
        limits = self._limits
        duration = limits.ejection_s * 2.0 ** min(record.ejections, 16)
        record.ejected_until = now + min(duration, limits.ejection_max_s)
        record.waived = None
        record.ejections += 1
        record.probation = limits.probation_successes
        record.consecutive = 0
        record.results.clear()
        record.failed = 0


class FailureDetector:
    """Suspects nodes that have stopped reporting.

    Hysteresis: a suspected node is trusted again only after several timely reports,
    so that a node that reports close to the timeout does not flap.
    """

    def __init__(
        self,
        suspect_after_s: float = defaults.HEALTH_SUSPECT_AFTER_S,
        trust_reports: int = defaults.HEALTH_TRUST_REPORTS,
    ) -> None:
        self._suspect_after_s = suspect_after_s
        self._trust_reports = trust_reports
        self._heard: dict[str, float] = {}
        self._owed: dict[str, int] = {}

    def record_report(self, node: str, now: float) -> None:
        """Record a report of a node."""
        silent = now - self._heard.get(node, now) > self._suspect_after_s
        self._heard[node] = now
        if silent:
            self._owed[node] = self._trust_reports
        owed = self._owed.get(node, 0)
        if owed > 1:
            self._owed[node] = owed - 1
        else:
            self._owed.pop(node, None)

    def is_suspected(self, node: str, now: float) -> bool:
        """Return whether a node is silent or has sent too few timely reports since."""
        heard = self._heard.get(node)
        if heard is None or now - heard > self._suspect_after_s:
            return True
        return node in self._owed

    def forget(self, node: str) -> None:
        """Discard the record of a node."""
        self._heard.pop(node, None)
        self._owed.pop(node, None)
