"""Hints about which backend servers have a prompt prefix in their cache.

Engines report cache events late and with gaps, so a hint may be wrong. A wrong hint
increases latency but never changes an answer.
"""

from collections import OrderedDict
from collections.abc import Sequence
from typing import NamedTuple

import xxhash

from .. import defaults

__all__ = ["CacheEvent", "PrefixHints", "hash_prefixes", "prefix_scope"]


class CacheEvent(NamedTuple):
    """A prefix cache event of an engine.

    ``sequence`` increases by one with each event of a backend server. ``block`` is a
    hash from :func:`hash_prefixes`. ``kind`` is ``stored``, ``evicted`` or
    ``cleared``.
    """

    sequence: int
    kind: str
    block: int


def prefix_scope(model: str, adapter: str) -> str:
    """Return the scope of a prefix cache; engines keep one per model and adapter."""
    return f"{model}/{adapter}"


def hash_prefixes(
    scope: str,
    prompt: bytes,
    block_bytes: int = defaults.PREFIX_BLOCK_BYTES,
    blocks: int = defaults.PREFIX_BLOCKS,
) -> list[int]:
    """Return the hashes of a prompt's prefixes, one per complete block.

    Args:
        scope: Scope of the cache, from :func:`prefix_scope`.
        prompt: The prompt as bytes.
        block_bytes: Length of a block.
        blocks: Maximum number of blocks to hash.
    """
    hasher = xxhash.xxh3_64(scope.encode())
    hashes = []
    for index in range(min(len(prompt) // block_bytes, blocks)):
        hasher.update(prompt[index * block_bytes : (index + 1) * block_bytes])
        hashes.append(hasher.intdigest())
    return hashes


class PrefixHints:
    """A bounded set of (backend server, block) pairs; the oldest are evicted first.

    Hints come from cache events and from this entry's routing decisions, which are
    known immediately, while events arrive late.
    """

    def __init__(
        self,
        limit: int = defaults.PREFIX_HINT_LIMIT,
        max_age_s: float = defaults.PREFIX_HINT_AGE_S,
    ) -> None:
        self._limit = limit
        self._max_age_s = max_age_s
        self._hints: OrderedDict[tuple[str, int], float] = OrderedDict()
        self._sequences: dict[str, int] = {}
        self.gaps = 0

    def __len__(self) -> int:
        return len(self._hints)

    def note_route(self, backend: str, hashes: Sequence[int], now: float) -> None:
        """Record that a prompt was routed to a backend server, which will cache it."""
        for block in hashes:
            self._store(backend, block, now)

    def apply(self, backend: str, event: CacheEvent, now: float) -> None:
        """Apply a cache event; duplicate and reordered events are ignored.

        A sequence number lower than the last one by ``PREFIX_REORDERED_EVENTS`` or
        more means that the backend server has restarted; its hints are dropped.
        """
        last = self._sequences.get(backend)
        if last is not None and event.sequence <= last:
            if last - event.sequence < defaults.PREFIX_REORDERED_EVENTS:
                return
            self.forget(backend)
            last = None
        if last is not None and event.sequence > last + 1:
            self.gaps += 1
        self._sequences[backend] = event.sequence
        if event.kind == "stored":
            self._store(backend, event.block, now)
        elif event.kind == "evicted":
            self._hints.pop((backend, event.block), None)
        elif event.kind == "cleared":
            self._drop_blocks(backend)

    def cached_share(self, backend: str, hashes: Sequence[int], now: float) -> float:
        """Return the estimated share of a prompt's blocks that are cached.

        A block counts only if all preceding blocks count.
        """
        if not hashes:
            return 0.0
        count = 0
        for block in hashes:
            stored_at = self._hints.get((backend, block))
            if stored_at is None or now - stored_at > self._max_age_s:
                break
            count += 1
        return count / len(hashes)

    def forget(self, backend: str) -> None:
        """Drop all hints of a backend server that is gone or has restarted."""
        self._sequences.pop(backend, None)
        self._drop_blocks(backend)

    def _store(self, backend: str, block: int, now: float) -> None:
        key = (backend, block)
        self._hints[key] = now
        self._hints.move_to_end(key)
        if len(self._hints) > self._limit:
            self._hints.popitem(last=False)

    def _drop_blocks(self, backend: str) -> None:
        for key in [key for key in self._hints if key[0] == backend]:
            del self._hints[key]
