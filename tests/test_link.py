"""Links: request correlation, loss of the server and malformed messages."""

import asyncio

import pytest
import zmq

from jasminewharf.exceptions import LinkTimeout, NotLeader, PeerUnavailable
from jasminewharf.messages.control import FetchStatus, StatusAnswer
from jasminewharf.services.link import (
    Identity,
    LinkClient,
    LinkServer,
    pack_header,
)

CLIENT = Identity("entry-1", "entry", "zone-a", 11)
SERVER = Identity("control-1", "control", "zone-a", 12)


def run(scenario, handlers):
    async def main():
        context = zmq.Context()
        server = LinkServer(SERVER, context, handlers)
        client = LinkClient(CLIENT, context, server.bind("127.0.0.1:0"))
        try:
            await client.wait_connected(5)
            await scenario(server, client, context)
        finally:
            client.close()
            server.close()
            context.term()

    asyncio.run(main())


def test_answers_reach_their_own_request():
    async def answer(peer, message):
        await asyncio.sleep(0.001)
        return StatusAnswer(peer.node.encode())

    async def scenario(server, client, context):
        answers = await asyncio.gather(
            *(client.request(FetchStatus()) for _ in range(50))
        )
        assert {reply.body for reply in answers} == {b"entry-1"}

    run(scenario, {FetchStatus: answer})


def test_typed_error_crosses_the_link():
    def refuse(peer, message):
        raise NotLeader("fleet", "control-2")

    async def scenario(server, client, context):
        with pytest.raises(NotLeader) as caught:
            await client.request(FetchStatus())
        assert caught.value.leader == "control-2"

    run(scenario, {FetchStatus: refuse})


def test_lost_server_fails_requests_as_unknown_then_as_unsent():
    async def never(peer, message):
        await asyncio.sleep(60)

    async def scenario(server, client, context):
        pending = asyncio.ensure_future(client.request(FetchStatus(), 30))
        await asyncio.sleep(0.05)
        server.close()
        with pytest.raises(LinkTimeout):
            await asyncio.wait_for(pending, 5)
        with pytest.raises(PeerUnavailable):
            client.send(FetchStatus())

    run(scenario, {FetchStatus: never})


def test_malformed_and_foreign_messages_are_counted_and_the_link_goes_on():
    async def scenario(server, client, context):
        client._channel.send([pack_header(bytes(8), b"\xff\xff") + b"\xff\xff"])
        client._channel.send([b"odd"])
        client._channel.send([bytes(11) + b"\xff"])
        answer = await client.request(FetchStatus())
        assert answer == StatusAnswer(b"ok")
        assert server.malformed_count == 3

    run(scenario, {FetchStatus: lambda peer, message: StatusAnswer(b"ok")})
