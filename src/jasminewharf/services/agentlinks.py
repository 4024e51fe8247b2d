"""A node's links to the agents that it deals with, opened when they are needed."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from .. import defaults
from ..exceptions import PeerUnavailable
from ..messages.link import Welcome
from .link import LinkClient

__all__ = ["AgentLinks", "AgentEndpoint"]


class AgentEndpoint(NamedTuple):
    """Where an agent listens, and its node's name."""

    node: str
    address: str


class _AgentLink:
    """A link, what waits for its connection, and when it was last needed."""

    def __init__(self, link: LinkClient) -> None:
        self.link = link
        self.needed_at = _now()
        self.waiting: deque[Any] = deque(maxlen=defaults.AGENT_LINK_QUEUE)
        link.on_welcome = self._send_waiting

    def send(self, message: Any) -> bool:
        try:
            self.link.send(message)
        except PeerUnavailable:
            self.waiting.append(message)
        return True

    def _send_waiting(self, welcome: Welcome) -> None:
        while self.waiting:
            try:
                self.link.send(self.waiting.popleft())
            except PeerUnavailable:
                return


class AgentLinks:
    """Links by the address of the engine beside each agent.

    Args:
        connect: Makes a link to an agent.
    """

    def __init__(self, connect: Callable[[AgentEndpoint], LinkClient]) -> None:
        self._connect = connect
        self._places: dict[str, AgentEndpoint] = {}
        self._links: dict[str, _AgentLink] = {}

    def __len__(self) -> int:
        return len(self._links)

    @property
    def endpoints(self) -> dict[str, AgentEndpoint]:
        """Where the agents listen, by the engine's address."""
        return self._places

    def set_endpoints(self, endpoints: dict[str, AgentEndpoint]) -> None:
        """Take where the agents listen; links to those that moved or left end."""
        for address in [a for a in self._links if self._places[a] != endpoints.get(a)]:
            self._links.pop(address).link.close()
        self._places = endpoints

    def is_linked(self, address: str) -> bool:
        """Return whether there is a link to an agent."""
        return address in self._links

    def send(self, address: str, message: Any) -> bool:
        """Send a message, at once or when the link is connected.

        Returns:
            Whether the agent is known.
        """
        found = self._find(address)
        return found is not None and found.send(message)

    async def request(self, address: str, message: Any, timeout_s: float) -> Any:
        """Send a request and return the agent's answer.

        Raises:
            PeerUnavailable: If nothing was sent.
            LinkTimeout: If no answer came.
        """
        found = self._find(address)
        if found is None:
            raise PeerUnavailable(f"no agent is known beside {address}")
        started = _now()
        if not found.link.is_connected:
            await found.link.wait_connected(min(timeout_s, defaults.AGENT_CONNECT_S))
        return await found.link.request(message, timeout_s - (_now() - started))

    def close_idle(self) -> None:
        """Close the links that were not needed for a while."""
        horizon = _now() - defaults.AGENT_LINK_IDLE_S
        for address in [
            a for a, kept in self._links.items() if kept.needed_at < horizon
        ]:
            self._links.pop(address).link.close()

    def close(self) -> None:
        """Close all links."""
        for kept in self._links.values():
            kept.link.close()
        self._links.clear()

    def _find(self, address: str) -> _AgentLink | None:
        kept = self._links.get(address)
        if kept is None:
            place = self._places.get(address)
            if place is None:
                return None
            kept = self._links[address] = _AgentLink(self._connect(place))
        kept.needed_at = _now()
        return kept


def _now() -> float:
    return asyncio.get_running_loop().time()
