"""Log services over TCP: what callers are told must hold over leader changes."""

import asyncio
import contextlib
import functools
import shutil
import socket

import pytest
import zmq.auth

from jasminewharf.bench.memory_files import MemoryFiles
from jasminewharf.decisions.records import MEMBERS
from jasminewharf.exceptions import (
    CorruptLog,
    MalformedMessage,
    MemberChangeRefused,
    NotLeader,
    ProposalRejected,
    QuorumLost,
    StorageFull,
)
from jasminewharf.kernel import Kernel
from jasminewharf.messages import encode
from jasminewharf.messages.commands import GrantKey
from jasminewharf.messages.log import (
    AppendEntries,
    BatchHeader,
    RequestVote,
    TimeoutNow,
)
from jasminewharf.services.batches import decode_batch
from jasminewharf.services.log import CurveSettings, LogService, LogSettings
from jasminewharf.services.peers import MemoryNetwork, MemoryPeers

GROUPS = ("fleet", "accounts")


def in_event_loop(test):
    @functools.wraps(test)
    def run(**fixtures):
        asyncio.run(test(**fixtures))

    return run


class StateMachine:
    """Keeps commands in order; refuses the command ``bad``."""

    def __init__(self):
        self.commands = []

    def apply(self, index, command):
        if command == b"bad":
            raise ProposalRejected("bad command")
        self.commands.append(command)
        return b"%d" % len(self.commands)

    def snapshot(self):
        return b"\n".join(self.commands)

    def restore(self, state):
        self.commands = state.split(b"\n") if state else []


def free_addresses(count):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = [f"127.0.0.1:{s.getsockname()[1]}" for s in sockets]
    for each in sockets:
        each.close()
    return addresses


class Cluster:
    """Control hosts in one process, each with its own folder."""

    def __init__(self, folder, count, network=None, **options):
        self.folder = folder
        self.network = network
        self.options = options
        names = [f"c{i}" for i in range(count)]
        self.addresses = dict(zip(names, free_addresses(count), strict=True))
        self.services = {}
        self.machines = {}

    async def start(self, name, files=None, peers=None, **options):
        if peers is None:
            peers = {n: a for n, a in self.addresses.items() if n != name}
        settings = LogSettings(
            name,
            str(self.folder / name),
            self.addresses[name],
            peers,
            GROUPS,
            **{**self.options, **options},
        )
        transport = None
        if self.network is not None:
            call_soon = asyncio.get_running_loop().call_soon
            transport = MemoryPeers(self.network, name, call_soon)
        service = LogService(Kernel(settings), settings, transport, files)
        await service.start()
        self.services[name] = service
        self.machines[name] = StateMachine()
        service.register_machine("fleet", self.machines[name])
        service.register_machine("accounts", StateMachine())
        return service

    async def stop(self, name, drain=False):
        service = self.services.pop(name)
        if drain:
            await service.drain()
        await service.stop()

    async def leader(self):
        async with asyncio.timeout(10):
            while True:
                for name, service in self.services.items():
                    if service.is_leader("fleet"):
                        return name
                await asyncio.sleep(0.01)

    async def wait_for_leader_at(self, name):
        async with asyncio.timeout(10):
            while not self.services[name].leader("fleet"):
                await asyncio.sleep(0.01)

    async def propose(self, command):
        """Propose at whichever host leads, as a client would."""
        async with asyncio.timeout(10):
            while True:
                name = await self.leader()
                with contextlib.suppress(NotLeader):
                    return await self.services[name].propose("fleet", command)
                await asyncio.sleep(0.01)

    async def add_member(self, host):
        """Add a host at whichever host leads, as the operator's tool does."""
        async with asyncio.timeout(20):
            while True:
                name = await self.leader()
                with contextlib.suppress(NotLeader):
                    service = self.services[name]
                    address = self.addresses[host]
                    return await service.add_member("fleet", host, address)
                await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def running(folder, count, network=None, **options):
    cluster = Cluster(folder, count, network, **options)
    try:
        for name in cluster.addresses:
            await cluster.start(name)
        yield cluster
    finally:
        for name in list(cluster.services):
            await cluster.stop(name)


@in_event_loop
async def test_single_member_keeps_its_commands_over_a_restart(tmp_path):
    async with running(tmp_path, 1, snapshot_entries=10) as cluster:
        results = [await cluster.propose(b"%d" % i) for i in range(35)]
        assert [int(result) for _, result in results] == list(range(1, 36))
        await cluster.stop("c0")
        service = await cluster.start("c0")
        await cluster.leader()
        index = await service.read_barrier("fleet")
        assert index >= results[-1][0]
        assert cluster.machines["c0"].commands == [b"%d" % i for i in range(35)]


@in_event_loop
async def test_refused_command_raises_and_changes_nothing(tmp_path):
    async with running(tmp_path, 1) as cluster:
        await cluster.propose(b"good")
        with pytest.raises(ProposalRejected):
            await cluster.propose(b"bad")
        assert cluster.machines["c0"].commands == [b"good"]


@in_event_loop
async def test_leader_change_over_tcp_loses_nothing(tmp_path):
    async with running(tmp_path, 3) as cluster:
        commands = [b"%d" % i for i in range(30)]
        for command in commands[:10]:
            await cluster.propose(command)
        first = await cluster.leader()
        await cluster.stop(first)
        for command in commands[10:20]:
            await cluster.propose(command)
        await cluster.start(first)
        await cluster.stop(await cluster.leader(), drain=True)
        for command in commands[20:]:
            await cluster.propose(command)
        for name, service in cluster.services.items():
            await service.read_barrier("fleet")
            assert cluster.machines[name].commands == commands


@in_event_loop
async def test_follower_names_the_leader_and_reads_through_it(tmp_path):
    async with running(tmp_path, 3, MemoryNetwork()) as cluster:
        seen = []
        name = await cluster.leader()
        follower = next(s for n, s in cluster.services.items() if n != name)
        follower.subscribe(
            "fleet", lambda index, command: seen.append((index, command))
        )
        index, _ = await cluster.propose(b"x")
        assert await follower.read_barrier("fleet") >= index
        assert seen == [(index, b"x")]
        assert follower.entries_after("fleet", index - 1) == seen
        with pytest.raises(NotLeader) as caught:
            await follower.propose("fleet", b"y")
        assert caught.value.leader == cluster.services[name].identity


@in_event_loop
async def test_isolated_leader_confirms_nothing(tmp_path):
    network = MemoryNetwork()
    async with running(tmp_path, 3, network) as cluster:
        await cluster.propose(b"before")
        name = await cluster.leader()
        old = cluster.services[name]
        network.severed = {(name, other) for other in cluster.services}
        with pytest.raises((NotLeader, QuorumLost)):
            await old.read_barrier("fleet")
        with pytest.raises((NotLeader, QuorumLost)):
            await old.propose("fleet", b"lost")
        await cluster.propose(b"after")
        network.severed = set()
        await cluster.propose(b"last")
        await cluster.wait_for_leader_at(name)
        await old.read_barrier("fleet")
        assert cluster.machines[name].commands == [b"before", b"after", b"last"]


@in_event_loop
async def test_replaced_disk_is_added_under_a_new_identity(tmp_path):
    async with running(tmp_path, 3, snapshot_entries=100) as cluster:
        await cluster.propose(b"first")
        name = await cluster.leader()
        lost = next(n for n in cluster.services if n != name)
        old = cluster.services[lost].identity
        await cluster.stop(lost)
        shutil.rmtree(tmp_path / lost)
        # Far enough behind that the new member needs the snapshot.
        await asyncio.gather(*[cluster.propose(b"%d" % i) for i in range(1500)])
        service = await cluster.start(lost)
        assert service.identity != old
        with pytest.raises(NotLeader):
            await service.propose("fleet", b"x")
        assert await cluster.add_member(lost) == service.identity
        name = await cluster.leader()
        identities = {m.identity for m in cluster.services[name].members("fleet")}
        assert old not in identities
        assert service.identity in identities
        await service.read_barrier("fleet")
        assert len(cluster.machines[lost].commands) == 1501
        # A second loss right after the repair: two of three still commit.
        await cluster.stop(next(n for n in cluster.services if n != lost))
        await cluster.propose(b"second")


@in_event_loop
async def test_leader_that_steps_down_while_it_adds_a_member(tmp_path):
    """A newcomer must vote although the leader that was asked leads no more.

    Case: the leader loses its quorum before it knows the newcomer's disk.
    """
    network = MemoryNetwork()
    async with running(tmp_path, 3, network) as cluster:
        await cluster.propose(b"first")
        name = await cluster.leader()
        lost, other = [n for n in cluster.services if n != name]
        await cluster.stop(lost)
        shutil.rmtree(tmp_path / lost)
        service = await cluster.start(lost)
        network.severed = {(name, lost), (name, other)}
        leader = cluster.services[name]
        address = cluster.addresses[lost]
        adding = asyncio.create_task(leader.add_member("fleet", lost, address))
        again = asyncio.create_task(cluster.add_member(lost))
        async with asyncio.timeout(10):
            while leader.is_leader("fleet"):
                await asyncio.sleep(0.01)
        # The newcomer answers, but no quorum does yet.
        network.severed = {(name, other)}
        with pytest.raises(NotLeader, match="leader is unknown"):
            await adding
        assert not again.done()
        network.severed = set()
        assert await again == service.identity
        await service.read_barrier("fleet")
        assert cluster.machines[lost].commands == [b"first"]


@in_event_loop
async def test_added_host_is_found_after_a_restart_without_settings(tmp_path):
    cluster = Cluster(tmp_path, 2)
    addresses = cluster.addresses
    await cluster.start("c0", peers={})
    await cluster.propose(b"x")
    # The new host does not know the others either and answers whoever asks.
    await cluster.start("c1", peers={"a-host-that-is-gone": "127.0.0.1:1"})
    leader = cluster.services["c0"]
    await leader.add_member("fleet", "c1", addresses["c1"])
    assert [m.voter for m in leader.members("fleet")] == [True, True]
    for name in ("c0", "c1"):
        await cluster.stop(name)
    await cluster.start("c0", peers={})
    await cluster.start("c1", peers={})
    await cluster.propose(b"y")
    for name in ("c0", "c1"):
        await cluster.stop(name)


@in_event_loop
async def test_host_without_a_disk_does_not_found_a_second_cluster(tmp_path):
    async with running(tmp_path, 3, MemoryNetwork()) as cluster:
        await cluster.propose(b"x")
        await cluster.stop("c0")
        shutil.rmtree(tmp_path / "c0")
        service = await cluster.start("c0")
        await asyncio.sleep(1.0)
        assert service.leader("fleet") == ""
        await cluster.propose(b"y")


@in_event_loop
async def test_vote_request_for_another_disk_is_refused(tmp_path):
    network = MemoryNetwork()
    async with running(tmp_path, 1, network) as cluster:
        await cluster.leader()
        service = cluster.services["c0"]
        term = service._runners["fleet"].consensus.term
        request = encode(RequestVote("fleet", term + 9, 99, 99, False, True))
        for receiver, cluster_id in (
            ("c0/gone", service._disk.cluster),
            (service.identity, "other"),
        ):
            header = BatchHeader(cluster_id, "c1/1", receiver, "127.0.0.1:1")
            network.receivers["c0"]([encode(header), request])
        network.receivers["c0"]([b"\xff\xff"])
        network.receivers["c0"]([])
        assert service._runners["fleet"].consensus.term == term


@pytest.mark.parametrize(
    "message",
    [
        AppendEntries("fleet", 1, 0, 0, 0, 0, [(1, 9, b"")]),
        AppendEntries("fleet", 1, 0, 0, 0, 0, [(1, MEMBERS, b"\xc1")]),
        TimeoutNow("fleet", -1),
        GrantKey("s", "k", "d", "w"),
    ],
)
def test_batch_with_a_message_that_no_member_sends_is_malformed(message):
    header = encode(BatchHeader("c", "a/1", "b/1", ""))
    with pytest.raises(MalformedMessage):
        decode_batch([header, encode(message)])


@in_event_loop
async def test_members_can_be_removed_but_not_the_last(tmp_path):
    async with running(tmp_path, 3, MemoryNetwork()) as cluster:
        await cluster.propose(b"x")
        leader = cluster.services[await cluster.leader()]
        for member in leader.members("fleet"):
            if member.identity != leader.identity:
                await leader.remove_member("fleet", member.identity)
        with pytest.raises(MemberChangeRefused):
            await leader.remove_member("fleet", leader.identity)


@in_event_loop
async def test_full_disk_stops_acknowledgements_but_not_reads(tmp_path):
    files = MemoryFiles()
    cluster = Cluster(tmp_path, 1, MemoryNetwork())
    service = await cluster.start("c0", files)
    index, _ = await cluster.propose(b"before")
    files.full = True
    unknown = asyncio.ensure_future(service.propose("fleet", b"unknown"))
    await asyncio.sleep(0.1)
    with pytest.raises(StorageFull):
        await service.propose("fleet", b"refused")
    assert await service.read_barrier("fleet") >= index
    assert not unknown.done()
    files.full = False
    assert (await unknown)[1] == b"2"
    await cluster.propose(b"after")
    assert cluster.machines["c0"].commands == [b"before", b"unknown", b"after"]
    await cluster.stop("c0")


@in_event_loop
async def test_leader_with_a_full_disk_hands_over_to_hosts_with_space(tmp_path):
    """Guards against changes that are refused until the leader's disk has space."""
    cluster = Cluster(tmp_path, 3, MemoryNetwork())
    files = {name: MemoryFiles() for name in cluster.addresses}
    for name in cluster.addresses:
        await cluster.start(name, files[name])
    await cluster.propose(b"before")
    full = await cluster.leader()
    files[full].full = True
    async with asyncio.timeout(5):
        assert (await cluster.services[full].propose("fleet", b"first"))[1] == b"2"
        while await cluster.leader() == full:
            await asyncio.sleep(0.01)
        await cluster.propose(b"second")
        leader = cluster.services[await cluster.leader()]
        assert await leader.read_barrier("fleet") == leader.applied_index("fleet")
    files[full].full = False
    for name in cluster.addresses:
        await cluster.stop(name)


@in_event_loop
async def test_damaged_log_stops_the_start(tmp_path):
    async with running(tmp_path, 1) as cluster:
        for _ in range(5):
            await cluster.propose(b"x" * 100)
        await cluster.stop("c0")
        (segment,) = (tmp_path / "c0/groups/fleet").glob("segment-*")
        data = bytearray(segment.read_bytes())
        # The zeros after the last frame hold no record.
        data[len(data.rstrip(b"\0")) // 2] ^= 1
        segment.write_bytes(data)
        with pytest.raises(CorruptLog):
            await cluster.start("c0")


@in_event_loop
async def test_curve_admits_only_known_hosts(tmp_path):
    keys = tmp_path / "keys"
    (keys / "public").mkdir(parents=True)
    for name in ("control-c0", "control-c1", "control-c2"):
        zmq.auth.create_certificates(keys, name)
        shutil.copy(keys / f"{name}.key", keys / "public")
    zmq.auth.create_certificates(keys, "stranger")
    for secret in keys.glob("*.key_secret"):
        secret.chmod(0o600)

    def curve(key):
        own = str(keys / f"{key}.key_secret")
        return CurveSettings(own, str(keys / "public"))

    cluster = Cluster(tmp_path, 3)
    try:
        await cluster.start("c0", curve=curve("control-c0"))
        await cluster.start("c1", curve=curve("control-c1"))
        await cluster.start("c2", curve=curve("stranger"))
        await asyncio.sleep(1.5)
        # The host with the unknown key is not heard, so nothing is founded.
        assert cluster.services["c0"].leader("fleet") == ""
        await cluster.stop("c2")
        await cluster.start("c2", curve=curve("control-c2"))
        await cluster.propose(b"x")
    finally:
        for name in list(cluster.services):
            await cluster.stop(name)
