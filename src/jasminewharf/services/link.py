"""Links between processes over ZeroMQ; see ``channel`` for their payloads."""

from .channel import Identity, pack, pack_header, unpack
from .linkclient import LinkClient
from .linkserver import Handler, LinkServer, Peer, Preencoded

__all__ = [
    "Handler",
    "Identity",
    "LinkClient",
    "LinkServer",
    "Peer",
    "Preencoded",
    "pack",
    "pack_header",
    "unpack",
]
