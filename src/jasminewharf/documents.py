"""Service documents: what a team writes about its service."""

import re
from typing import Annotated, Literal, NamedTuple

import msgspec

from .exceptions import DocumentError
from .schema import Matches, Range, load_yaml

__all__ = [
    "Access",
    "Adapter",
    "Document",
    "Model",
    "Route",
    "decode_document",
    "encode_document",
    "parse_document",
]

_NAME = Matches(
    re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}").fullmatch,
    "1 to 100 letters, digits, dots, dashes or underscores",
)
_PATH = Matches(re.compile(r"/[^\s?#]{0,500}").fullmatch, "a path that begins with /")

Name = Annotated[str, _NAME]
Megabytes = Annotated[int, Range(0, 100_000_000)]
Method = Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
Milliseconds = Annotated[int, Range(1, 86_400_000)]
Priority = Literal["interactive", "batch"]


class Adapter(NamedTuple):
    """An adapter of a model; ``checkpoint`` defaults to the name."""

    name: Name
    memory_mb: Megabytes
    checkpoint: str = ""


class Model(NamedTuple):
    """A model of the service.

    Memory of a replica is the sum of weights, KV cache and the memory kept for
    adapters, all in MB.
    """

    name: Name
    checkpoint: Name
    memory_mb: Megabytes
    kv_cache_mb: Megabytes = 0
    adapter_memory_mb: Megabytes = 0
    context_tokens: Annotated[int, Range(1, 100_000_000)] = 8192
    min_replicas: Annotated[int, Range(0, 1000)] = 0
    max_replicas: Annotated[int, Range(1, 1000)] = 1
    deadline_ms: Milliseconds = 30_000
    priority: Priority = "interactive"
    adapters: list[Adapter] = []

    @property
    def replica_memory_mb(self) -> int:
        """Memory that a replica reserves on its host, in MB."""
        return self.memory_mb + self.kv_cache_mb + self.adapter_memory_mb


class Route(NamedTuple):
    """A route of a plain service; the longest matching path counts.

    ``open`` routes need no key. ``cost_tokens`` is charged for each call.
    """

    path: Annotated[str, _PATH]
    methods: list[Method]
    idempotent: bool = True
    open: bool = False
    deadline_ms: Milliseconds = 30_000
    cost_tokens: Annotated[int, Range(0, 10_000_000)] = 1
    priority: Priority = "interactive"


class Access(NamedTuple):
    """What a workspace may use, and at what rate in tokens."""

    workspace: Name
    rate_tokens_per_s: Annotated[int, Range(1, 1_000_000_000)]
    burst_tokens: Annotated[int, Range(1, 1_000_000_000)]
    models: list[str] = ["*"]
    weight: Annotated[int, Range(1, 1000)] = 1


class Document(NamedTuple):
    """A service, as its team describes it.

    ``version`` is the version that the document was written against; 0 for the
    first one.
    """

    service: Name
    kind: Literal["model", "plain"]
    pool: Name
    workspaces: list[Access]
    version: Annotated[int, Range(0, 1_000_000_000)] = 0
    models: list[Model] = []
    routes: list[Route] = []

    def find_access(self, workspace: str) -> Access | None:
        """Return what ``workspace`` may use, or None."""
        for access in self.workspaces:
            if access.workspace == workspace:
                return access
        return None


_decoder = msgspec.msgpack.Decoder(Document)


def encode_document(document: Document) -> bytes:
    """Return the compact form in which nodes receive a document."""
    return msgspec.msgpack.encode(document)


def decode_document(data: bytes) -> Document:
    """Return the document in ``data``."""
    return _decoder.decode(data)


def parse_document(text: str, file: str) -> Document:
    """Return the checked document in the YAML ``text``.

    Raises:
        DocumentError: Naming file, line, path and the allowed values.
    """
    document = load_yaml(text, Document, file, DocumentError)
    _check_names(document, file)
    return document


def _check_names(document: Document, file: str) -> None:
    if document.kind == "model" and not document.models:
        raise DocumentError(file, 0, "models", "a model service needs a model")
    if document.kind == "plain" and not document.routes:
        raise DocumentError(file, 0, "routes", "a plain service needs a route")
    _check_unique(file, "workspaces", [w.workspace for w in document.workspaces])
    names = [model.name for model in document.models]
    names += [adapter.name for model in document.models for adapter in model.adapters]
    _check_unique(file, "models", names)
    for position, access in enumerate(document.workspaces):
        unknown = set(access.models) - set(names) - {"*"}
        if unknown:
            path = f"workspaces[{position}].models"
            reason = f"{sorted(unknown)[0]!r} is not a model or adapter; "
            raise DocumentError(
                file, 0, path, reason + f"allowed: *, {', '.join(names)}"
            )


def _check_unique(file: str, path: str, names: list[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise DocumentError(file, 0, path, f"{name!r} is given twice")
        seen.add(name)
