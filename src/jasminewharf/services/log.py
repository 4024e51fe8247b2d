"""The service ``log``: the log groups of one control host."""

import asyncio
import logging
import random
import secrets
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from .. import events
from ..decisions.consensus import Consensus
from ..decisions.records import COMMAND, Received, Timing, Transfer
from ..defaults import (
    LOG_MEMBER_CHANGE_TIMEOUT_S,
    LOG_MEMBER_POLL_S,
    LOG_PROBE_INTERVAL_S,
    LOG_TICK_S,
)
from ..exceptions import MalformedMessage, MemberChangeRefused, NotLeader
from ..identifiers import new_token
from ..kernel import Kernel, Service
from ..messages import codec
from ..messages.log import (
    AppendAnswer,
    AppendEntries,
    BatchHeader,
    DiskAnswer,
    DiskProbe,
    MemberRecord,
    ReadIndex,
    ReadIndexAnswer,
    RequestVote,
    SnapshotAnswer,
    SnapshotChunk,
    TimeoutNow,
    VoteAnswer,
)
from ..settings import is_address
from .disk import Disk, host_name
from .files import DiskFiles, Files
from .founding import Founding
from .loggroup import GroupRunner, Machine
from .logsettings import CurveSettings, LogSettings
from .peers import PeerTransport, ZmqPeers

__all__ = ["CurveSettings", "LogService", "LogSettings", "Machine"]

_logger = logging.getLogger(__name__)
_TOKEN_BITS = 62


_BATCH_TYPES = frozenset(
    {
        AppendAnswer,
        AppendEntries,
        DiskAnswer,
        DiskProbe,
        ReadIndex,
        ReadIndexAnswer,
        RequestVote,
        SnapshotAnswer,
        SnapshotChunk,
        TimeoutNow,
        VoteAnswer,
    }
)


class LogService(Service):
    """Owns the files, timers and links of the log groups on one control host.

    Until the host has founded or joined a cluster, every group is without a
    leader: proposals and reads raise :class:`NotLeader`.

    Args:
        kernel: The process's kernel.
        settings: The log's settings.
        transport: Links to the other control hosts; ZeroMQ by default.
        files: Access to files; the disk by default.
    """

    name = "log"

    def __init__(
        self,
        kernel: Kernel,
        settings: LogSettings,
        transport: PeerTransport | None = None,
        files: Files | None = None,
    ) -> None:
        super().__init__(kernel)
        self._settings = settings
        self._transport = transport or ZmqPeers(settings.address, settings.curve)
        self._files = files or DiskFiles()
        self._runners: dict[str, GroupRunner] = {}
        self._machines: dict[str, Machine] = {}
        self._subscribers: dict[str, list[tuple[Any, Any]]] = {}
        self._outbox: dict[str, list[Any]] = {}
        self.malformed_count = 0

    async def start(self) -> None:
        """Open the logs and links.

        Raises:
            CorruptLog: If a log is damaged; nothing was changed.
        """
        settings = self._settings
        self._disk = Disk(self._files, settings.folder, settings.name, settings.groups)
        self._executor = ThreadPoolExecutor(max_workers=len(settings.groups))
        self._founding = Founding(settings.name, set(settings.peers))
        if self._disk.cluster:
            self._open_groups()
        await self._transport.start(self._take_batch)
        for host, address in settings.peers.items():
            self._transport.connect(host, address)
        self.spawn(self._transport.receive(), essential=True)
        self.spawn(self._keep_time(), essential=True)
        if not self._disk.cluster:
            self._try_founding()
            self.spawn(self._probe_peers(), essential=True)

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
        for group, runner in self._runners.items():
            if runner.consensus.is_leader:
                self._hand_over(group)
        deadline = asyncio.get_running_loop().time() + self._settings.election_s
        while self._leads_shared_group():
            if asyncio.get_running_loop().time() > deadline:
                return
            await asyncio.sleep(LOG_TICK_S)

    def _leads_shared_group(self) -> bool:
        runners = self._runners.values()
        return any(
            r.consensus.is_leader and len(r.consensus.members) > 1 for r in runners
        )

    def _hand_over(self, group: str) -> None:
        consensus = self._runners[group].consensus
        for member in consensus.members:
            if member.voter and member.identity != self.identity:
                self.transfer_leadership(group, member.identity)
                return

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

    def is_leader(self, group: str) -> bool:
        """Return whether this member leads the group."""
        runner = self._runners.get(group)
        return runner is not None and runner.consensus.is_leader

    def applied_index(self, group: str) -> int:
        """Return the index of the last entry that was applied here."""
        runner = self._runners.get(group)
        return runner.applied if runner else 0

    def register_machine(self, group: str, machine: Machine) -> None:
        """Give the group its state machine; it is restored at once if possible."""
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
            callback: Called after the command is applied.
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

    def members(self, group: str) -> tuple[MemberRecord, ...]:
        """Return the group's members in the newest configuration known here."""
        return self._runner(group).consensus.members

    async def add_member(self, group: str, host: str, address: str) -> str:
        """Add a host; return its identity when it has caught up and votes.

        An earlier identity of the same host, whose disk is gone, is removed then.

        Raises:
            NotLeader: If this member does not lead.
            MemberChangeRefused: If the host cannot be reached, belongs to another
                cluster, or does not catch up in time.
        """
        runner = self._leading_runner(group)
        identity = await self._identify(host, address)
        record = MemberRecord(identity, address, False)
        await self._change(runner, record, "")
        await self._wait_for_vote(runner, identity)
        for member in self.members(group):
            if host_name(member.identity) == host and member.identity != identity:
                await self._change(runner, None, member.identity)
        return identity

    async def remove_member(self, group: str, identity: str) -> None:
        """Remove a member.

        Raises:
            NotLeader: If this member does not lead.
            MemberChangeRefused: If it is the last voter.
            QuorumLost: If the outcome is unknown.
        """
        await self._change(self._leading_runner(group), None, identity)

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

    async def _change(
        self, runner: GroupRunner, member: MemberRecord | None, identity: str
    ) -> None:
        deadline = self._deadline()
        while True:
            try:
                await runner.change_members(member, identity)
                return
            except MemberChangeRefused:
                # Another change, or the first commit of the term, is in progress.
                if asyncio.get_running_loop().time() > deadline:
                    raise
            await asyncio.sleep(LOG_MEMBER_POLL_S)

    def _deadline(self) -> float:
        return asyncio.get_running_loop().time() + LOG_MEMBER_CHANGE_TIMEOUT_S

    async def _wait_for_vote(self, runner: GroupRunner, identity: str) -> None:
        deadline = self._deadline()
        while not self._is_committed_voter(runner, identity):
            if asyncio.get_running_loop().time() > deadline:
                raise MemberChangeRefused(f"{identity} has not caught up in time")
            await asyncio.sleep(LOG_MEMBER_POLL_S)

    def _is_committed_voter(self, runner: GroupRunner, identity: str) -> bool:
        consensus = runner.consensus
        members = consensus.members_at(consensus.commit_index)
        return any(m.voter and m.identity == identity for m in members)

    async def _identify(self, host: str, address: str) -> str:
        self._founding.forget(host)
        self._transport.connect(host, address)
        deadline = self._deadline()
        while asyncio.get_running_loop().time() < deadline:
            self._send_batch(host, "", [DiskProbe()])
            await asyncio.sleep(LOG_MEMBER_POLL_S)
            seen = self._founding.seen(host)
            if seen is not None:
                if seen.cluster not in ("", self._disk.cluster):
                    raise MemberChangeRefused(f"{host} belongs to another cluster")
                return seen.identity
        raise MemberChangeRefused(f"{host} at {address} cannot be reached")

    # Founding and joining.

    async def _probe_peers(self) -> None:
        while not self._disk.cluster:
            for host in self._settings.peers:
                self._send_batch(host, "", [DiskProbe()])
            await asyncio.sleep(LOG_PROBE_INTERVAL_S)
            self._try_founding()

    def _try_founding(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._disk.cluster or not self._founding.may_found(now):
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
            self._send,
            self._executor,
            secrets.randbits(_TOKEN_BITS),
        )

    # Links and time.

    async def _keep_time(self) -> None:
        while True:
            for runner in list(self._runners.values()):
                runner.tick()
            await asyncio.sleep(LOG_TICK_S)

    def _send(self, receiver: str, message: Any) -> None:
        # Messages of all groups in one turn of the event loop share a batch.
        if not self._outbox:
            asyncio.get_running_loop().call_soon(self._flush_outbox)
        self._outbox.setdefault(receiver, []).append(message)

    def _flush_outbox(self) -> None:
        outbox, self._outbox = self._outbox, {}
        for receiver, messages in outbox.items():
            self._send_batch(host_name(receiver), receiver, messages)

    def _send_batch(self, host: str, receiver: str, messages: list[Any]) -> None:
        header = BatchHeader(
            self._disk.cluster, self.identity, receiver, self._settings.address
        )
        frames = [codec.encode(header)]
        frames.extend(codec.encode(message) for message in messages)
        if not self._transport.send(host, frames):
            events.emit(_logger, events.PEER_QUEUE_FULL, host=host)

    def _take_batch(self, frames: list[bytes]) -> None:
        try:
            header, *messages = [codec.decode(frame) for frame in frames]
            _check_batch(header, messages)
        except (MalformedMessage, ValueError) as error:
            self.malformed_count += 1
            events.emit(_logger, events.BATCH_MALFORMED, error=error)
            return
        if host_name(header.sender) == self._settings.name:
            events.emit(_logger, events.BATCH_REFUSED, sender=header.sender)
            return
        self._transport.connect(host_name(header.sender), header.address)
        for message in messages:
            self._take_message(header, message)

    def _take_message(self, header: BatchHeader, message: Any) -> None:
        if isinstance(message, DiskProbe):
            answer = DiskAnswer(bool(self._disk.cluster))
            self._send_batch(host_name(header.sender), header.sender, [answer])
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


def _check_batch(header: Any, messages: list[Any]) -> None:
    """Check that a batch holds what control hosts send to each other.

    Raises:
        MalformedMessage: If it does not.
    """
    if not isinstance(header, BatchHeader):
        raise MalformedMessage("batch without a header")
    if not is_address(header.address):
        raise MalformedMessage("batch without the sender's address")
    for message in messages:
        if type(message) not in _BATCH_TYPES:
            raise MalformedMessage(f"{type(message).__name__} in a batch")
