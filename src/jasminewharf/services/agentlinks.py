"""Links of a node to the agents of engines, opened on demand."""

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
    """The node name and listen address of an agent."""

    node: str
    address: str


class _AgentLink:
    """A link with the messages that await its connection and its last use."""

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
    """Links to agents, by the address of each agent's engine.

    Args:
        connect: Opens a link to an agent.
    """

    def __init__(self, connect: Callable[[AgentEndpoint], LinkClient]) -> None:
        self._connect = connect
        self._places: dict[str, AgentEndpoint] = {}
        self._links: dict[str, _AgentLink] = {}

    def __len__(self) -> int:
        return len(self._links)

    @property
    def endpoints(self) -> dict[str, AgentEndpoint]:
        """The endpoints of the agents by the address of their engine."""
        return self._places

    def set_endpoints(self, endpoints: dict[str, AgentEndpoint]) -> None:
        """Set the agents' endpoints; close links to those that changed or are gone."""
        for address in [a for a in self._links if self._places[a] != endpoints.get(a)]:
            self._links.pop(address).link.close()
        self._places = endpoints

    def is_linked(self, address: str) -> bool:
        """Return whether a link to the agent is open."""
        return address in self._links

    def send(self, address: str, message: Any) -> bool:
        """Send a message now, or once the link is connected.

        Returns:
            Whether the agent's endpoint is known.
        """
        found = self._find(address)
        return found is not None and found.send(message)

    async def request(self, address: str, message: Any, timeout_s: float) -> Any:
        """Send a request and return the agent's answer.

        Raises:
            PeerUnavailable: If nothing was sent.
            LinkTimeout: If no answer arrived in time.
        """
        found = self._find(address)
        if found is None:
            raise PeerUnavailable(f"no agent is known for engine {address}")
        started = _now()
        if not found.link.is_connected:
            await found.link.wait_connected(min(timeout_s, defaults.AGENT_CONNECT_S))
        return await found.link.request(message, timeout_s - (_now() - started))

    def close_idle(self) -> None:
        """Close the links that were not used for ``AGENT_LINK_IDLE_S``."""
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
