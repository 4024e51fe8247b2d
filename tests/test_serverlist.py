"""Lists of backend servers that control hosts pass on to each other."""

import asyncio
from types import SimpleNamespace

from fleetparts import build_listed
from jasminewharf.dialects.fleet import SERVER_LISTS
from jasminewharf.messages.servers import Servers
from jasminewharf.metrics import Metrics
from jasminewharf.platform import PlatformServers
from jasminewharf.services.serverlist import ServerListReader

PLATFORM = next(n for n, item in SERVER_LISTS.items() if type(item) is PlatformServers)


class FakeKernel:
    """What the reader asks of a control host; ``leader`` is whom its log follows."""

    settings = SimpleNamespace(
        fleet=SimpleNamespace(list_address="127.0.0.1:9", dialect=PLATFORM)
    )

    def __init__(self):
        self.leader = ""
        self.metrics = Metrics()

    def find(self, name):
        if name == "log":
            return SimpleNamespace(leader=lambda group: self.leader)
        return SimpleNamespace(
            metrics=self.metrics,
            hears=lambda address: False,
            publish=lambda *messages: None,
            notify=lambda message: None,
        )


def build_peer(node):
    return SimpleNamespace(node=node, hello=SimpleNamespace(role="control"))


def test_list_that_was_on_its_way_for_long_replaces_no_newer_one():
    """A server that had left was used again when a silent link went on.

    A list bears its age when it was sent. One that was held on the link looks newer
    than what the leader has read meanwhile.
    """

    async def main():
        kernel = FakeKernel()
        reader = ServerListReader(kernel)
        held = Servers(100, [build_listed("i-1")])
        kernel.leader = "control-1/disk"
        reader._take(build_peer("control-1"), held)
        assert [listed.server for listed in reader._servers] == ["i-1"]
        kernel.leader = "control-2/disk"
        reader._take(build_peer("control-2"), Servers(50, [build_listed("i-2")]))
        reader._read_at -= 0.2
        reader._take(build_peer("control-1"), held)
        assert [listed.server for listed in reader._servers] == ["i-2"]
        # Without a leader, or where its list is old, any host's list counts.
        kernel.leader = ""
        reader._take(build_peer("control-1"), Servers(50, [build_listed("i-3")]))
        assert [listed.server for listed in reader._servers] == ["i-3"]
        kernel.leader = "control-2/disk"
        reader._read_at -= 10.0
        reader._take(build_peer("control-1"), Servers(40, [build_listed("i-4")]))
        assert [listed.server for listed in reader._servers] == ["i-4"]

    asyncio.run(main())
