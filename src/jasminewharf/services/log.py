"""The service ``log``: the log groups of one control host."""

import asyncio
import logging
import random
import secrets
from collections.abc import Callable
from concurrent.futures import Executor, ThreadPoolExecutor
from typing import Any

from .. import events
from ..decisions.consensus import Consensus
from ..decisions.records import COMMAND, Received, Timing, Transfer, host_name
from ..defaults import LOG_PROBE_INTERVAL_S, LOG_TICK_S
from ..exceptions import CorruptLog, NotLeader
from ..identifiers import new_token
from ..kernel import Kernel, Service
from ..messages.log import BatchHeader, DiskAnswer, DiskProbe, MemberRecord
from .batches import Batches
from .disk import Disk
from .files import DiskFiles, Files
from .founding import Founding
from .loggroup import GroupRunner
from .logsettings import CurveSettings, LogSettings
from .memberwork import add_member, identify, remove_member
from .peers import PeerTransport, ZmqPeers
from .statemachine import StateMachine

__all__ = ["CurveSettings", "LogService", "LogSettings", "StateMachine"]

_logger = logging.getLogger(__name__)
_TOKEN_BITS = 62


class LogService(Service):
    """Owns the files, timers and links of the log groups on one control host.

    Until the host has founded or joined a cluster, every group is without a
    leader: proposals and reads raise :class:`NotLeader`.

    Args:
        kernel: The process's kernel.
        settings: The log's settings.
        transport: Links to the other control hosts; ZeroMQ by default.
        files: Access to files; the disk by default.
        executor: Runs blocking file operations; a thread per group by default.
    """

    name = "log"

    def __init__(
        self,
        kernel: Kernel,
        settings: LogSettings,
        transport: PeerTransport | None = None,
        files: Files | None = None,
        executor: Executor | None = None,
    ) -> None:
        super().__init__(kernel)
        self._settings = settings
        self._transport = transport or ZmqPeers(settings.address, settings.curve)
        self._files = files or DiskFiles()
        self._executor = executor or ThreadPoolExecutor(len(settings.groups))
        self._runners: dict[str, GroupRunner] = {}
        self._machines: dict[str, StateMachine] = {}
        self._subscribers: dict[str, list[tuple[Any, Any]]] = {}
        self._batches = Batches(self._transport, self._make_header, self._take_message)

    async def start(self) -> None:
        """Open the logs and links.

        Raises:
            CorruptLog: If a log is damaged; nothing was changed.
        """
        settings = self._settings
        try:
            self._open_disk()
        except CorruptLog as error:
            events.emit(_logger, events.LOG_CORRUPT, error=error)
            raise
        self._founding = Founding(settings.name, set(settings.peers))
        await self._transport.start(self._batches.take)
        for host, address in settings.peers.items():
            self._transport.connect(host, address)
        self.spawn(self._transport.receive(), essential=True)
        self.spawn(self._keep_time(), essential=True)
        if not self._disk.cluster:
            self._try_founding()
            self.spawn(self._probe_peers(), essential=True)

    def _open_disk(self) -> None:
        settings = self._settings
        self._disk = Disk(self._files, settings.folder, settings.name, settings.groups)
        if self._disk.cluster:
            self._open_groups()

    async def stop(self) -> None:
        """Close the logs and links."""
        await super().stop()
        await self._transport.stop()
        await asyncio.to_thread(self._executor.shutdown)
        for runner in self._runners.values():
            runner.stop()
        self._runners.clear()

    async def drain(self) -> None:
        """Hand leadership of every group to another member."""
        await self.hand_over()

    async def hand_over(self) -> None:
        """Hand leadership of every group to another member, if there is one."""
        now = asyncio.get_running_loop().time
        deadline = now() + self._settings.election_s
        handed_over = [r for r in self._runners.values() if r.hand_over()]
        while any(runner.consensus.is_leader for runner in handed_over):
            if now() > deadline:
                return
            await asyncio.sleep(LOG_TICK_S)

    @property
    def malformed_count(self) -> int:
        """Batches dropped because they were no log messages."""
        return self._batches.malformed_count

    # Reading and writing.

    @property
    def identity(self) -> str:
        """The identity of this member: host name, slash, disk."""
        return self._disk.identity

    @property
    def groups(self) -> tuple[str, ...]:
        """Names of the log groups."""
        return self._settings.groups

    async def propose(self, group: str, command: bytes) -> tuple[int, bytes]:
        """Commit a command and return its index and the machine's result.

        Raises:
            NotLeader: If this member does not lead; the command is not committed.
            StorageFull: If the disk is full; the command is not committed.
            ProposalRejected: If the machine refused the command.
            QuorumLost: If the outcome is unknown: it may yet be committed.
        """
        return await self._runner(group).propose(command)

    async def read_barrier(self, group: str) -> int:
        """Return an index that covers all that was committed before the call.

        A quorum confirms it after the call, and it is applied here before the
        return. Followers ask the leader.

        Raises:
            NotLeader: If no leader is known.
            QuorumLost: If no quorum answered in time.
        """
        return await self._runner(group).read()

    def leader(self, group: str) -> str:
        """Return the identity of the group's leader, or an empty string."""
        runner = self._runners.get(group)
        return runner.consensus.leader if runner else ""

    def leaderless_s(self, group: str) -> float:
        """Return the seconds for which no leader of the group is known; 0 if one is."""
        runner = self._runners.get(group)
        return runner.leaderless_s() if runner else 0.0

    def is_leader(self, group: str) -> bool:
        """Return whether this member leads the group."""
        runner = self._runners.get(group)
        return runner is not None and runner.consensus.is_leader

    def term(self, group: str) -> int:
        """Return the newest term of the group that is known here, or 0."""
        runner = self._runners.get(group)
        return runner.consensus.term if runner else 0

    def applied_index(self, group: str) -> int:
        """Return the index of the last entry that was applied here."""
        runner = self._runners.get(group)
        return runner.applied if runner else 0

    def register_machine(self, group: str, machine: StateMachine) -> None:
        """Give the group its state machine; it is restored at once if possible.

        Until then nothing is applied, and proposals and reads wait.
        """
        self._machines[group] = machine
        if group in self._runners:
            self._runners[group].set_machine(machine)

    def subscribe(
        self,
        group: str,
        callback: Callable[[int, bytes], None],
        on_restore: Callable[[int], None] | None = None,
    ) -> None:
        """Call ``callback(index, command)`` for every command applied from now on.

        Args:
            group: The group's name.
            callback: Called after the command is applied, also if the machine
                refused it: whoever applies the commands elsewhere refuses it too.
            on_restore: Called with an index when a snapshot replaced the state, so
                that commands up to the index were skipped.
        """
        self._subscribers.setdefault(group, []).append((callback, on_restore))
        if group in self._runners:
            self._runners[group].subscribe(callback, on_restore)

    def entries_after(self, group: str, index: int) -> list[tuple[int, bytes]] | None:
        """Return the applied commands after ``index``.

        Returns:
            Pairs of index and command, or None if the log no longer holds them
            all; the caller then needs the state.
        """
        runner = self._runner(group)
        if index < runner.consensus.base_index:
            return None
        entries = runner.consensus.entries_between(index + 1, runner.applied)
        return [(entry.index, entry.data) for entry in entries if entry.kind == COMMAND]

    def _runner(self, group: str) -> GroupRunner:
        runner = self._runners.get(group)
        if runner is None:
            raise NotLeader(group, "")
        return runner

    # Members.

    def silent_members(self, group: str, seconds: float) -> set[str]:
        """Return members that have not answered this leader for ``seconds``."""
        now = asyncio.get_running_loop().time()
        return self._runner(group).consensus.silent_members(seconds, now)

    def successors(self, group: str) -> set[str]:
        """Return members that do not vote yet, answer this leader and hold its log."""
        now = asyncio.get_running_loop().time()
        return self._runner(group).consensus.find_successors(now)

    def members(self, group: str) -> tuple[MemberRecord, ...]:
        """Return the group's members in the newest configuration known here."""
        return self._runner(group).consensus.members

    async def add_member(self, group: str, host: str, address: str) -> str:
        """Add a host; return its identity when it has caught up and votes.

        An earlier identity of the same host, whose disk is gone, is removed first.

        Raises:
            NotLeader: If this member does not lead.
            MemberChangeRefused: If the host cannot be reached, belongs to another
                cluster, or does not catch up in time.
        """
        runner = self._leading_runner(group)
        identity = await self._identify(host, address)
        await add_member(runner, MemberRecord(identity, address, False))
        return identity

    async def remove_member(self, group: str, identity: str) -> None:
        """Remove a member.

        Raises:
            NotLeader: If this member does not lead.
            MemberChangeRefused: If it is the last voter.
            QuorumLost: If the outcome is unknown.
        """
        await remove_member(self._leading_runner(group), identity)

    def transfer_leadership(self, group: str, target: str) -> None:
        """Ask the voter ``target`` to take over; proposals are refused meanwhile.

        Raises:
            NotLeader: If this member does not lead.
        """
        self._leading_runner(group).submit(Transfer(target))

    def _leading_runner(self, group: str) -> GroupRunner:
        runner = self._runner(group)
        if not runner.consensus.is_leader:
            raise NotLeader(group, runner.consensus.leader)
        return runner

    async def _identify(self, host: str, address: str) -> str:
        self._founding.forget(host)
        self._transport.connect(host, address)

        def probe() -> None:
            self._batches.send_batch(host, "", [DiskProbe()])

        return await identify(self._founding, host, self._disk.cluster, probe)

    # Founding and joining.

    async def _probe_peers(self) -> None:
        while not self._disk.cluster:
            for host in self._settings.peers:
                self._batches.send_batch(host, "", [DiskProbe()])
            await asyncio.sleep(LOG_PROBE_INTERVAL_S)
            self._try_founding()

    def _try_founding(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._disk.cluster or not self._settings.may_found:
            return
        if not self._founding.may_found(now):
            return
        own = MemberRecord(self.identity, self._settings.address, True)
        self._disk.found(new_token(), (own, *self._founding.members()))
        events.emit(_logger, events.CLUSTER_FOUNDED, cluster=self._disk.cluster)
        self._open_groups()

    def _join(self, cluster: str) -> None:
        self._disk.join(cluster)
        events.emit(_logger, events.CLUSTER_JOINED, cluster=cluster)
        self._open_groups()

    def _open_groups(self) -> None:
        for group in self._settings.groups:
            self._runners[group] = self._open_group(group)
        for group, runner in self._runners.items():
            for callback, on_restore in self._subscribers.get(group, []):
                runner.subscribe(callback, on_restore)
            if group in self._machines:
                runner.set_machine(self._machines[group])
            self.spawn(runner.run(), essential=True)

    def _open_group(self, group: str) -> GroupRunner:
        settings = self._settings
        storage = self._disk.storage(group)
        restored = storage.open()
        events.emit(
            _logger, events.LOG_OPENED, group=group, entries=len(restored.entries)
        )
        timing = Timing(settings.election_s, settings.heartbeat_s)
        now = asyncio.get_running_loop().time()
        consensus = Consensus(
            group, self.identity, restored, timing, random.Random(), now
        )
        return GroupRunner(
            group,
            consensus,
            storage,
            settings.snapshot_entries,
            self._batches.send,
            self._executor,
            secrets.randbits(_TOKEN_BITS),
        )

    # Links and time.

    async def _keep_time(self) -> None:
        while True:
            for runner in list(self._runners.values()):
                runner.tick()
                if runner.take_member_change():
                    self._connect_members(runner)
            await asyncio.sleep(LOG_TICK_S)

    def _connect_members(self, runner: GroupRunner) -> None:
        members = runner.consensus.members
        events.emit(
            _logger,
            events.MEMBERS_CHANGED,
            group=runner.group,
            members=[member.identity for member in members],
        )
        known = {self._settings.name, *self._settings.peers}
        for member in members:
            # The settings of a host that was added later are not in these settings.
            host = host_name(member.identity)
            if host not in known and member.address:
                self._transport.connect(host, member.address)

    def _make_header(self, receiver: str) -> BatchHeader:
        disk = self._disk
        return BatchHeader(
            disk.cluster, disk.identity, receiver, self._settings.address
        )

    def _take_message(self, header: BatchHeader, message: Any) -> None:
        if isinstance(message, DiskProbe):
            answer = DiskAnswer(bool(self._disk.cluster))
            host = host_name(header.sender)
            self._batches.send_batch(host, header.sender, [answer])
        elif isinstance(message, DiskAnswer):
            now = asyncio.get_running_loop().time()
            self._founding.note(header, now)
        elif self._is_addressed(header):
            runner = self._runners.get(message.group)
            if runner is not None:
                runner.submit(Received(header.sender, message))

    def _is_addressed(self, header: BatchHeader) -> bool:
        if header.receiver == self.identity and header.cluster:
            if not self._disk.cluster:
                self._join(header.cluster)
            if header.cluster == self._disk.cluster:
                return True
        events.emit(
            _logger,
            events.BATCH_REFUSED,
            sender=header.sender,
            receiver=header.receiver,
            cluster=header.cluster,
        )
        return False
