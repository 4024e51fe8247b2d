"""State machine of log group ``fleet``: documents, keys, hosts and replicas.

Control hosts and nodes apply the same committed commands in the same order, so that
their states are equal at equal versions.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import msgspec

from .. import defaults
from ..documents import Access, Adapter, Document, Model, decode_document
from ..exceptions import DuplicateRegistration
from ..messages import decode, encode
from ..messages.commands import (
    AdvanceReplica,
    CommandResult,
    DecideReplica,
    GrantKey,
    ReplaceConfiguration,
    SetDraining,
    SubmitDocument,
    WithdrawKey,
)
from ..messages.evacuations import SetEvacuation
from ..registry import lookup
from .acceptance import DocumentRecord, Revision, judge_submission
from .configurations import ACCEPTANCE_RULES
from .evacuations import EvacuationTable, ZoneState
from .keys import KeyRecord

__all__ = [
    "FleetState",
    "ModelOffer",
    "PHASE_SUCCESSORS",
    "Replica",
    "StoredConfiguration",
]

PHASE_SUCCESSORS: dict[str, frozenset[str]] = {
    "ordered": frozenset({"loaded", "failed", "unloading"}),
    "loaded": frozenset({"unloading", "gone"}),
    "failed": frozenset({"gone"}),
    "unloading": frozenset({"gone"}),
    "gone": frozenset(),
}


class Replica(NamedTuple):
    """A replica; ``number`` is the log index of the command that decided it."""

    number: int
    service: str
    model: str
    backend: str
    host: str
    memory_mb: int
    from_tier: str
    phase: str


class ModelOffer(NamedTuple):
    """A model or adapter that a document offers."""

    service: str
    document: Document
    model: Model
    adapter: Adapter | None


class StoredConfiguration(NamedTuple):
    """The active configuration; ``body`` is compressed, and empty if there is none."""

    version: int = 0
    body: bytes = b""


class _Snapshot(NamedTuple):
    version: int
    documents: list[DocumentRecord]
    keys: list[KeyRecord]
    draining: dict[str, tuple[str, ...]]
    replicas: list[Replica]
    verdicts: list[tuple[str, CommandResult]]
    configuration: StoredConfiguration = StoredConfiguration()
    # Left out while empty, so that earlier releases can read it.
    evacuations: list[ZoneState] = []


_Applier = Callable[["FleetState", int, Any], CommandResult]
_APPLIERS: dict[type, _Applier] = {}


def _applies(kind: type) -> Callable[[_Applier], _Applier]:
    def enter(applier: _Applier) -> _Applier:
        if kind in _APPLIERS:
            raise DuplicateRegistration(kind.__name__)
        _APPLIERS[kind] = applier
        return applier

    return enter


class FleetState:
    """The deterministic state machine of group ``fleet``.

    Attributes:
        version: Log index of the last command applied.
        documents: Document records by service.
        keys: Key records by key identifier.
        draining: Draining hosts with the sources of the drain: operator, platform or
            both.
        replicas: Replicas by number, without those in phase ``gone``.
        configuration: The active configuration, if the deployment uses one.
        evacuations: The states of availability zones.
    """

    def __init__(self) -> None:
        self.version = 0
        self.documents: dict[str, DocumentRecord] = {}
        self.keys: dict[str, KeyRecord] = {}
        self.draining: dict[str, tuple[str, ...]] = {}
        self.replicas: dict[int, Replica] = {}
        self.configuration = StoredConfiguration()
        self.evacuations = EvacuationTable()
        self._verdicts: OrderedDict[str, CommandResult] = OrderedDict()
        self._parsed: dict[str, Document] = {}
        self._offers: dict[str, dict[str, ModelOffer]] = {}
        self._loaded: dict[tuple[str, str], set[tuple[str, str]]] = {}

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its encoded result."""
        return encode(self.apply_message(index, decode(command)))

    def apply_message(self, index: int, command: Any) -> CommandResult:
        """Apply a committed command; ignore a command that is already applied."""
        if index <= self.version:
            return CommandResult("", "already applied", self.version)
        self.version = index
        submission = getattr(command, "submission_id", "")
        if submission and submission in self._verdicts:
            return self._verdicts[submission]
        applier = _APPLIERS.get(type(command))
        if applier is None:
            return CommandResult("ProposalRejected", "not a fleet command", 0)
        result = applier(self, index, command)
        if submission:
            self._remember_verdict(submission, result)
        return result

    def _remember_verdict(self, submission: str, result: CommandResult) -> None:
        self._verdicts[submission] = result
        while len(self._verdicts) > defaults.REMEMBERED_SUBMISSIONS:
            self._verdicts.popitem(last=False)

    @_applies(SubmitDocument)
    def _submit_document(self, index: int, command: SubmitDocument) -> CommandResult:
        current = self.documents.get(command.service)
        result = judge_submission(command, current)
        if result.error:
            return result
        revision = Revision(result.version, index, command.author, command.body)
        history = [*(current.history if current else []), revision]
        self._put_document(
            DocumentRecord(
                command.service,
                result.version,
                command.author,
                command.document,
                history[-defaults.DOCUMENT_HISTORY :],
            )
        )
        return result

    @_applies(GrantKey)
    def _grant_key(self, index: int, command: GrantKey) -> CommandResult:
        if command.key_id in self.keys:
            return CommandResult("ProposalRejected", "key identifier is taken", index)
        self.keys[command.key_id] = KeyRecord(
            command.key_id, command.digest, command.workspace, False
        )
        return CommandResult("", "granted", index)

    @_applies(WithdrawKey)
    def _withdraw_key(self, index: int, command: WithdrawKey) -> CommandResult:
        record = self.keys.get(command.key_id)
        if record is None:
            return CommandResult("ProposalRejected", "no such key", index)
        self.keys[command.key_id] = record._replace(withdrawn=True)
        return CommandResult("", "withdrawn", index)

    @_applies(SetDraining)
    def _set_draining(self, index: int, command: SetDraining) -> CommandResult:
        sources = set(self.draining.get(command.host, ()))
        if command.draining:
            sources.add(command.source)
        else:
            sources.discard(command.source)
        if sources:
            self.draining[command.host] = tuple(sorted(sources))
        else:
            self.draining.pop(command.host, None)
        return CommandResult("", "draining" if sources else "live", index)

    @_applies(DecideReplica)
    def _decide_replica(self, index: int, command: DecideReplica) -> CommandResult:
        for replica in self.replicas.values():
            place = (replica.host, replica.backend, replica.model)
            if place == (command.host, command.backend, command.model):
                return CommandResult(
                    "ProposalRejected", "already decided there", replica.number
                )
        self.replicas[index] = Replica(
            index,
            command.service,
            command.model,
            command.backend,
            command.host,
            command.memory_mb,
            command.from_tier,
            "ordered",
        )
        return CommandResult("", "decided", index)

    @_applies(AdvanceReplica)
    def _advance_replica(self, index: int, command: AdvanceReplica) -> CommandResult:
        replica = self.replicas.get(command.replica)
        if replica is None:
            return CommandResult("ProposalRejected", "no such replica", 0)
        if command.phase not in PHASE_SUCCESSORS[replica.phase]:
            text = f"{replica.phase} cannot become {command.phase}"
            return CommandResult("ProposalRejected", text, replica.number)
        if command.phase == "gone":
            del self.replicas[replica.number]
        else:
            self.replicas[replica.number] = replica._replace(phase=command.phase)
        self._index_replica(replica, command.phase == "loaded")
        return CommandResult("", command.phase, replica.number)

    @_applies(ReplaceConfiguration)
    def _replace_configuration(
        self, index: int, command: ReplaceConfiguration
    ) -> CommandResult:
        accepts = lookup(ACCEPTANCE_RULES, command.rule)
        held = self.configuration
        if held.body and not accepts(held.version, command.version):
            return CommandResult("", "not newer", held.version)
        self.configuration = StoredConfiguration(command.version, command.body)
        return CommandResult("", "replaced", command.version)

    @_applies(SetEvacuation)
    def _set_evacuation(self, index: int, command: SetEvacuation) -> CommandResult:
        return self.evacuations.apply(index, command)

    def _index_replica(self, replica: Replica, is_loaded: bool) -> None:
        places = self._loaded.setdefault((replica.service, replica.model), set())
        place = (replica.host, replica.backend)
        if is_loaded:
            places.add(place)
        else:
            places.discard(place)
        if not places:
            del self._loaded[(replica.service, replica.model)]

    def _put_document(self, record: DocumentRecord) -> None:
        self.documents[record.service] = record
        self._index_document(decode_document(record.document))

    def _index_document(self, document: Document) -> None:
        """Replace the offers of one service in the index."""
        service = document.service
        known = self._parsed.get(service)
        for offer in _list_offers(known) if known else ():
            del self._offers[_name_of(offer)][service]
        self._parsed[service] = document
        for offer in _list_offers(document):
            self._offers.setdefault(_name_of(offer), {})[service] = offer

    def loaded_backends(self, service: str, model: str) -> set[tuple[str, str]]:
        """Return the (host, backend server) pairs on which a model is loaded."""
        return self._loaded.get((service, model), set())

    def document(self, service: str) -> Document | None:
        """Return the current document of ``service``."""
        return self._parsed.get(service)

    def all_documents(self) -> list[Document]:
        """Return the current documents of all services."""
        return list(self._parsed.values())

    def offers_named(self, name: str) -> list[ModelOffer]:
        """Return the models and adapters called ``name`` of all services."""
        return list(self._offers.get(name, {}).values())

    def find_offer(self, name: str, workspace: str) -> ModelOffer | None:
        """Return the offer called ``name`` that ``workspace`` may use."""
        for offer in self._offers.get(name, {}).values():
            access = offer.document.find_access(workspace)
            if access is not None and may_use(access, offer):
                return offer
        return None

    def offers_for(self, workspace: str) -> Iterator[ModelOffer]:
        """Yield the models and adapters that ``workspace`` may use."""
        for offers in self._offers.values():
            for offer in offers.values():
                access = offer.document.find_access(workspace)
                if access is not None and may_use(access, offer):
                    yield offer

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        snapshot = _Snapshot(
            self.version,
            list(self.documents.values()),
            list(self.keys.values()),
            dict(sorted(self.draining.items())),
            list(self.replicas.values()),
            list(self._verdicts.items()),
            self.configuration,
            self.evacuations.list_states(),
        )
        fields = snapshot if snapshot.evacuations else snapshot[:-1]
        return msgspec.msgpack.encode(fields)

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot."""
        snapshot = msgspec.msgpack.decode(data, type=_Snapshot)
        self.version = snapshot.version
        self.documents = {record.service: record for record in snapshot.documents}
        self.keys = {record.key_id: record for record in snapshot.keys}
        self.draining = snapshot.draining
        self.replicas = {replica.number: replica for replica in snapshot.replicas}
        self._verdicts = OrderedDict(snapshot.verdicts)
        self.configuration = snapshot.configuration
        self.evacuations = EvacuationTable(snapshot.evacuations)
        self._parsed = {}
        self._offers = {}
        self._loaded = {}
        for record in snapshot.documents:
            self._index_document(decode_document(record.document))
        for replica in snapshot.replicas:
            if replica.phase == "loaded":
                self._index_replica(replica, True)


def may_use(access: Access, offer: ModelOffer) -> bool:
    """Return whether ``access`` permits the offered model or adapter."""
    allowed = access.models
    if "*" in allowed or offer.model.name in allowed:
        return True
    return offer.adapter is not None and offer.adapter.name in allowed


def _name_of(offer: ModelOffer) -> str:
    return offer.adapter.name if offer.adapter else offer.model.name


def _list_offers(document: Document) -> Iterator[ModelOffer]:
    for model in document.models:
        yield ModelOffer(document.service, document, model, None)
        for adapter in model.adapters:
            yield ModelOffer(document.service, document, model, adapter)
