"""Shares of the connections that a backend server takes from all hosts together."""

from .. import defaults

__all__ = ["count_idle_connections"]


def count_idle_connections(max_connections: int, nodes: int) -> int:
    """Return how many idle connections a node may keep to one server.

    The idle ones of all nodes take a part of what the server accepts; the rest is for
    requests in flight, which the server's places bound.

    Args:
        max_connections: What the server accepts of all nodes; 0 if it is not known.
        nodes: Number of nodes that send to it.
    """
    if max_connections <= 0:
        return defaults.HTTP_IDLE_CONNECTIONS
    share = int(max_connections * defaults.IDLE_CONNECTIONS_PART / max(nodes, 1))
    return min(share, defaults.HTTP_IDLE_CONNECTIONS)
