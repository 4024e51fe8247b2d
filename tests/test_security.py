"""Links, key files and certificates: only proven identities, no leaked secret."""

import asyncio
import os
import shutil

import pytest
import zmq

from certificates import read_name, write_certificate
from jasminewharf.exceptions import KeyFileError, LinkError, PeerUnavailable
from jasminewharf.interfaces.http import HttpServer
from jasminewharf.interfaces.tls import CallerTls
from jasminewharf.messages.control import FetchStatus, StatusAnswer
from jasminewharf.metrics import Metrics
from jasminewharf.services.curve import load_key_pair, write_key_pair
from jasminewharf.services.link import Identity, LinkClient, LinkServer
from jasminewharf.services.secretfiles import read_secret
from jasminewharf.services.security import LinkSecurity
from jasminewharf.settings import LimitSettings, TlsSettings
from support import wait_until

SERVER = Identity("c1", "control", "a", 1)
ENTRY = Identity("e1", "entry", "a", 2)


class Links:
    """A server with CURVE keys, and clients that connect to it."""

    def __init__(self, folder):
        self.folder = folder
        (folder / "trusted").mkdir()
        for role, node in (("control", "c1"), ("entry", "e1")):
            self.make_pair(role, node)
            self.trust(f"{role}-{node}")
        self.context = zmq.Context()
        self.security = self.load("control-c1", self.context)
        self.security.start()
        self.server = LinkServer(
            SERVER,
            self.context,
            {FetchStatus: lambda peer, message: StatusAnswer(peer.node.encode())},
            self.security,
        )
        self.address = self.server.bind("127.0.0.1:0")
        self.clients = []

    def make_pair(self, role, node):
        for suffix in ("key", "key_secret"):
            (self.folder / f"{role}-{node}.{suffix}").unlink(missing_ok=True)
        write_key_pair(str(self.folder), role, node)

    def trust(self, name, as_name=""):
        target = self.folder / "trusted" / f"{as_name or name}.key"
        shutil.copy(self.folder / f"{name}.key", target)

    def load(self, name, context):
        secret = str(self.folder / f"{name}.key_secret")
        trusted = str(self.folder / "trusted")
        return LinkSecurity(secret, trusted, context, Metrics())

    def connect(self, identity, name=""):
        security = configure = None
        if name:
            security = self.load(name, self.context)
            configure = security.client_configurer("control", "c1")
        client = LinkClient(identity, self.context, self.address, {}, configure)
        if security is not None:
            security.watch_link(client)
        self.clients.append(client)
        return client, security

    def close(self):
        for client in self.clients:
            client.close()
        self.server.close()
        self.security.stop()
        self.context.destroy(linger=0)


def run(tmp_path, scenario):
    async def main():
        links = Links(tmp_path)
        try:
            await scenario(links)
        finally:
            links.close()

    asyncio.run(main())


async def ask(client):
    await client.wait_connected(5)
    return (await client.request(FetchStatus(), 2)).body


def test_only_a_trusted_key_with_its_own_name_is_served(tmp_path):
    async def scenario(links):
        known, _ = links.connect(ENTRY, "entry-e1")
        assert await ask(known) == b"e1"
        links.make_pair("entry", "e2")
        strangers = [
            links.connect(ENTRY)[0],
            links.connect(Identity("e2", "entry", "a", 3), "entry-e2")[0],
            links.connect(Identity("tool", "tool", "a", 4), "entry-e1")[0],
            links.connect(Identity("e9", "entry", "a", 5), "entry-e1")[0],
        ]
        for stranger in strangers:
            with pytest.raises(PeerUnavailable):
                await stranger.wait_connected(0.5)
        assert links.server.refused_count >= 2
        count = links.security._metrics.counter_value
        assert count("link_refusals_total", reason="unknown_key") >= 1
        assert count("link_refusals_total", reason="wrong_name") >= 2

    run(tmp_path, scenario)


def test_removed_key_cuts_the_peer_and_a_returned_one_is_served_again(tmp_path):
    async def scenario(links):
        client, _ = links.connect(ENTRY, "entry-e1")
        assert await ask(client) == b"e1"
        (links.folder / "trusted" / "entry-e1.key").unlink()
        links.security.refresh()
        with pytest.raises(LinkError):
            await client.request(FetchStatus(), 0.5)
        await wait_until(lambda: not client.is_connected)
        with pytest.raises(PeerUnavailable):
            await client.wait_connected(0.3)
        links.trust("entry-e1")
        links.security.refresh()
        again, _ = links.connect(ENTRY, "entry-e1")
        assert await ask(again) == b"e1"

    run(tmp_path, scenario)


def test_client_changes_its_key_without_a_restart(tmp_path):
    async def scenario(links):
        client, security = links.connect(ENTRY, "entry-e1")
        assert await ask(client) == b"e1"
        links.make_pair("entry", "e1")
        links.trust("entry-e1", "entry-e1.next")
        links.security.refresh()
        security.refresh()
        assert await ask(client) == b"e1"
        links.trust("entry-e1")
        (links.folder / "trusted" / "entry-e1.next.key").unlink()
        links.security.refresh()
        new_key = security.public_key.decode()
        peers = links.server.peers
        await wait_until(lambda: [p.public_key for p in peers()] == [new_key])
        assert await ask(client) == b"e1"

    run(tmp_path, scenario)


def test_server_changes_its_key_once_idle_without_a_restart(tmp_path):
    async def scenario(links):
        client, security = links.connect(ENTRY, "entry-e1")
        assert await ask(client) == b"e1"
        links.server.is_idle = lambda: False
        links.make_pair("control", "c1")
        links.trust("control-c1")
        links.security.refresh()
        security.refresh()
        await asyncio.sleep(0.2)
        assert await ask(client) == b"e1"
        old_peers = {peer.routing_id for peer in links.server.peers()}
        links.server.is_idle = lambda: True
        peers = links.server.peers
        await wait_until(lambda: {p.routing_id for p in peers()} - old_peers)
        assert await ask(client) == b"e1"

    run(tmp_path, scenario)


@pytest.mark.parametrize("mode", [0o644, 0o640, 0o602])
def test_secret_files_open_to_others_are_refused_with_file_and_reason(tmp_path, mode):
    secret_file, _ = write_key_pair(str(tmp_path), "tool", "t")
    assert os.stat(secret_file).st_mode & 0o777 == 0o600
    os.chmod(secret_file, mode)
    for read in (read_secret, load_key_pair):
        with pytest.raises(KeyFileError, match="0600") as caught:
            read(secret_file)
        assert caught.value.file == secret_file


def test_key_files_that_hold_no_pair_are_refused_without_their_content(tmp_path):
    path = tmp_path / "x.key_secret"
    path.touch(mode=0o600)
    for content in (b"", b"\xff\x00planted", b'public-key = "planted"\n'):
        path.write_bytes(content)
        with pytest.raises(KeyFileError) as caught:
            load_key_pair(str(path))
        assert "planted" not in str(caught.value)
    first, _ = write_key_pair(str(tmp_path), "entry", "a")
    _, second = write_key_pair(str(tmp_path), "entry", "b")
    with open(first) as secret, open(second) as public:
        path.write_text(public.read() + secret.read().splitlines()[-1])
    with pytest.raises(KeyFileError, match="belong together"):
        load_key_pair(str(path))


def test_certificate_changes_while_running_and_a_broken_one_changes_nothing(tmp_path):
    write_certificate(tmp_path, "first")
    settings = TlsSettings(str(tmp_path / "tls.crt"), str(tmp_path / "tls.key"))

    async def answer(request, responder):
        responder.respond(200, [], b"ok")

    async def main():
        tls = CallerTls(settings)
        server = HttpServer(answer, lambda refusal: ([], b""), LimitSettings())
        address = await server.listen("127.0.0.1", 0, tls.context)
        assert await read_name(address) == "CN=first"
        write_certificate(tmp_path, "second")
        tls.refresh()
        assert await read_name(address) == "CN=second"
        (tmp_path / "tls.crt").write_text("not a certificate")
        tls.refresh()
        assert await read_name(address) == "CN=second"
        os.chmod(tmp_path / "tls.key", 0o644)
        with pytest.raises(KeyFileError, match="0600"):
            CallerTls(settings)
        await server.close()

    asyncio.run(main())


def test_peer_that_was_refused_is_served_once_its_key_is_trusted(tmp_path):
    async def scenario(links):
        links.make_pair("entry", "e2")
        unknown, _ = links.connect(Identity("e2", "entry", "a", 3), "entry-e2")
        misnamed, _ = links.connect(Identity("e3", "entry", "a", 4), "entry-e1")
        await asyncio.sleep(0.5)
        assert not unknown.is_connected and not misnamed.is_connected
        links.trust("entry-e2")
        links.trust("entry-e1", "entry-e3")
        links.security.refresh()
        assert await ask(unknown) == b"e2"
        assert await ask(misnamed) == b"e3"

    run(tmp_path, scenario)
