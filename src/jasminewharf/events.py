"""The catalogue of numbered log events.

Every log line of the system is one of these events. ``docs/events.md`` lists
them; a test compares the two.
"""

import logging
from typing import Any, NamedTuple

from .exceptions import DuplicateRegistration

__all__ = ["CATALOGUE", "Event", "emit"]


class Event(NamedTuple):
    """A kind of log line."""

    number: int
    level: int
    text: str


CATALOGUE: dict[int, Event] = {}


def _define(number: int, level: int, text: str) -> Event:
    if number in CATALOGUE:
        raise DuplicateRegistration(number)
    event = Event(number, level, text)
    CATALOGUE[number] = event
    return event


def emit(logger: logging.Logger, event: Event, **fields: Any) -> None:
    """Write one log line.

    Args:
        logger: The module's logger.
        event: An entry of the catalogue.
        **fields: Values that belong to the line; never a key or a secret.
    """
    if logger.isEnabledFor(event.level):
        logger.log(event.level, event.text, extra={"event": event, "fields": fields})


# Kernel and processes: 100 to 199.
SERVICE_STARTED = _define(100, logging.DEBUG, "service started")
SERVICE_STOPPED = _define(101, logging.DEBUG, "service stopped")
TASK_FAILED = _define(102, logging.ERROR, "task failed")
PROCESS_READY = _define(103, logging.INFO, "process ready")
PROCESS_STOPPING = _define(104, logging.INFO, "process stopping")
PROCESS_STARTING = _define(105, logging.INFO, "process starting")
LISTEN_DELAYED = _define(106, logging.WARNING, "address not free yet, tried again")

# Links: 200 to 299.
MESSAGE_MALFORMED = _define(200, logging.WARNING, "malformed message dropped")
MESSAGE_UNEXPECTED = _define(201, logging.WARNING, "unexpected message dropped")
PEER_CONNECTED = _define(202, logging.INFO, "peer connected")
PEER_LOST = _define(203, logging.WARNING, "peer lost")
HANDLER_FAILED = _define(204, logging.ERROR, "message handler failed")

# Log and storage: 300 to 399.
LOG_OPENED = _define(300, logging.INFO, "log opened")
LOG_TAIL_CUT = _define(301, logging.WARNING, "torn log tail cut")
LOG_CORRUPT = _define(302, logging.ERROR, "log corrupt")
DISK_CREATED = _define(303, logging.INFO, "disk identity created")
CLUSTER_FOUNDED = _define(304, logging.INFO, "cluster founded")
CLUSTER_JOINED = _define(305, logging.INFO, "cluster joined")
LEADER_CHANGED = _define(306, logging.INFO, "leader changed")
DISK_FULL = _define(307, logging.ERROR, "disk full, acknowledgements stopped")
DISK_RECOVERED = _define(308, logging.INFO, "disk has space again")
SNAPSHOT_SAVED = _define(309, logging.INFO, "snapshot saved")
SNAPSHOT_RECEIVED = _define(310, logging.INFO, "snapshot received")
SNAPSHOT_REFUSED = _define(311, logging.WARNING, "received snapshot refused")
BATCH_REFUSED = _define(312, logging.WARNING, "batch for another disk refused")
MEMBERS_CHANGED = _define(313, logging.INFO, "members changed")
PEER_QUEUE_FULL = _define(314, logging.DEBUG, "batch to a control host dropped")
LEADERSHIP_LEFT = _define(315, logging.WARNING, "full disk, another host is to lead")
LEADER_MISSING = _define(316, logging.WARNING, "no leader is known")

# Configuration and keys: 400 to 499.
DOCUMENT_ACCEPTED = _define(400, logging.INFO, "document accepted")
DOCUMENT_REFUSED = _define(401, logging.INFO, "document refused")
VIEW_RESTORED = _define(402, logging.INFO, "view restored from snapshot")
VIEW_STALE = _define(403, logging.WARNING, "configuration lease expired")
VIEW_FRESH = _define(406, logging.INFO, "configuration confirmed again")
FEED_MOVED = _define(407, logging.INFO, "fed by another control host")
FEED_REFUSED = _define(404, logging.WARNING, "older feed refused")
ACCOUNTS_TAKEN = _define(410, logging.INFO, "rate accounts taken over")
ACCOUNTS_LOST = _define(411, logging.WARNING, "ownership of rate accounts lost")
CHECKPOINT_FAILED = _define(412, logging.WARNING, "account checkpoint failed")
GRANT_REQUEST_FAILED = _define(413, logging.INFO, "grant request not answered")
GRANTS_NOT_RETURNED = _define(414, logging.WARNING, "grants left to expire")
CLAIMS_ENDED = _define(420, logging.WARNING, "claims of a lost entry marked unknown")
CLAIM_NOT_RECORDED = _define(421, logging.ERROR, "outcome of an order not recorded")
CLAIM_NOT_RELEASED = _define(422, logging.WARNING, "claim of an order not released")
CLAIMS_FULL = _define(423, logging.ERROR, "claim refused: partition is full")

HOST_LIST_UNREADABLE = _define(405, logging.WARNING, "host list unreadable")

# Callers: 500 to 599.
REQUEST_FINISHED = _define(500, logging.DEBUG, "request finished")
REQUEST_REFUSED = _define(501, logging.INFO, "request refused")
CONNECTION_REJECTED = _define(502, logging.INFO, "connection rejected")
ANSWER_DROPPED = _define(503, logging.WARNING, "answer to an unknown request dropped")
ENTRIES_UNINFORMED = _define(507, logging.WARNING, "entries may send more calls")
STREAM_BROKEN = _define(504, logging.WARNING, "stream interrupted")

# Backend servers and loads: 600 to 699.
REPLICA_DECIDED = _define(600, logging.INFO, "replica decided")
REPLICA_ADVANCED = _define(601, logging.INFO, "replica phase changed")
BACKEND_UNREACHABLE = _define(602, logging.WARNING, "backend server unreachable")
ORDER_FAILED = _define(603, logging.WARNING, "order to backend server failed")

# Secure links and hostile input: 700 to 799.
KEY_REFUSED = _define(700, logging.WARNING, "link from an unknown key refused")
PEER_REFUSED = _define(701, logging.WARNING, "peer may not claim its role or node")
SERVER_KEY_MISSING = _define(702, logging.WARNING, "public key of a server missing")
KEY_FILE_REFUSED = _define(703, logging.ERROR, "key file not used")
KEYS_CHANGED = _define(704, logging.INFO, "changed key files taken up")
REQUEST_TIMED_OUT = _define(707, logging.INFO, "request did not arrive in time")
REQUEST_CUT = _define(708, logging.INFO, "caller left inside a request")
CALLER_NOT_READING = _define(710, logging.INFO, "caller does not read its answer")
CONNECTION_UNANSWERED = _define(
    711, logging.INFO, "connection closed with a request unanswered"
)
REQUESTS_SHED = _define(
    712, logging.WARNING, "requests refused for lack of memory for them"
)
BATCH_MALFORMED = _define(709, logging.WARNING, "malformed batch dropped")
CERTIFICATE_CHANGED = _define(705, logging.INFO, "changed certificate taken up")
CERTIFICATE_REFUSED = _define(706, logging.ERROR, "changed certificate not used")

# Configurations and members of a fleet that finds its parts: 800 to 849.
CONFIGURATION_REFUSED = _define(800, logging.WARNING, "configuration refused")
CONFIGURATION_ACCEPTED = _define(801, logging.INFO, "configuration accepted")
CONFIGURATION_IN_FORCE = _define(802, logging.INFO, "configuration in force")
CONFIGURATION_UNREADABLE = _define(803, logging.ERROR, "stored configuration unread")
CONFIGURATION_COMMITTED = _define(804, logging.INFO, "configuration committed")
MEMBERSHIP_PENDING = _define(810, logging.INFO, "waiting to become a member")
MEMBER_JOINING = _define(811, logging.INFO, "member joins")
MEMBER_ADDED = _define(812, logging.INFO, "member added")
MEMBER_REMOVED = _define(813, logging.WARNING, "silent member removed")
MEMBER_CHANGE_FAILED = _define(814, logging.WARNING, "member change failed")
MEMBER_LEFT = _define(815, logging.INFO, "member gave up its vote")
EVACUATION_ACCEPTED = _define(816, logging.INFO, "evacuation accepted")
EVACUATION_REFUSED = _define(817, logging.WARNING, "call for an evacuation refused")
EVACUATION_IN_FORCE = _define(818, logging.INFO, "evacuations in force changed")
SERVERS_EVACUATED = _define(819, logging.WARNING, "all servers of a service evacuated")
SERVER_LIST_UNREADABLE = _define(820, logging.WARNING, "server list unreadable")
SERVER_LIST_CHANGED = _define(821, logging.INFO, "server list changed")
SERVER_LEFT = _define(822, logging.INFO, "backend server left or leaving")
SERVER_FOUND = _define(823, logging.INFO, "backend server found")
RELAY_SILENT = _define(824, logging.WARNING, "no reports of engines from the relay")
RELAY_HEARD = _define(825, logging.INFO, "reports of engines from the relay")
SETTINGS_RELOADED = _define(830, logging.INFO, "settings read again")
SETTINGS_REFUSED = _define(831, logging.ERROR, "changed settings not used")
SETTINGS_NOT_READ = _define(832, logging.INFO, "settings count from the next start")
LINES_LEFT_OUT = _define(840, logging.WARNING, "log lines left out")

# Requests to found backend servers: 850 to 899.
REQUEST_ENDED = _define(850, logging.INFO, "request ended")
ATTEMPT_FAILED = _define(851, logging.INFO, "attempt at a backend server failed")
STREAM_RESUMED = _define(852, logging.INFO, "stream resumed at another server")
REQUEST_WAITS = _define(853, logging.INFO, "request waits for its model")
SERVER_EJECTED = _define(854, logging.WARNING, "backend server ejected")
RATE_REFUSED = _define(855, logging.INFO, "request over the workspace's rate")
SERVER_SAYS_LEAVING = _define(857, logging.INFO, "backend server says it is leaving")
SERVER_PAUSED = _define(858, logging.INFO, "backend server asks for a pause")
SERVER_LIMIT_CHANGED = _define(859, logging.INFO, "backend server's limit changed")
SERVER_LIMIT_UNREADABLE = _define(
    860, logging.WARNING, "limit of a backend server unreadable"
)
HEADER_UNKNOWN = _define(861, logging.INFO, "unknown header of backend servers")
PERMIT_REFUSED = _define(862, logging.INFO, "backend servers' limits reached")
PERMIT_OWNER_SILENT = _define(
    863, logging.WARNING, "owner of the servers' limits is silent"
)
SERVER_ENDED = _define(865, logging.WARNING, "backend server ended inside an answer")
PART_SUSPECTED = _define(866, logging.INFO, "part of prompts suspected of a crash")
PART_REFUSED = _define(867, logging.WARNING, "part of prompts that crashes servers")
PART_CLEARED = _define(868, logging.INFO, "part of prompts cleared by an answer")
PROMPT_REFUSED = _define(869, logging.INFO, "request kept from the servers")
REQUEST_SUSPECTED = _define(871, logging.INFO, "request suspected of a crash")
POISON_REQUEST_FOUND = _define(872, logging.WARNING, "request that crashes servers")
REQUEST_CLEARED = _define(873, logging.INFO, "request cleared by an answer")
ATTEMPT_SILENT = _define(874, logging.INFO, "backend server silent, another is asked")
ATTEMPT_WENT_ON = _define(875, logging.INFO, "silent backend server went on")
SERVER_COLD = _define(876, logging.INFO, "backend server is cold")
SERVER_WARM = _define(877, logging.INFO, "backend server is not cold any more")
COLD_TIME_IMPLAUSIBLE = _define(
    878, logging.WARNING, "cold time of a backend server cannot be true"
)
COLD_BOUND_REACHED = _define(
    879, logging.INFO, "backend server that can turn cold has no permit at once"
)
STREAM_EVENTS_DROPPED = _define(870, logging.INFO, "events of a stream dropped")
ANSWER_UNMATCHED = _define(
    864, logging.WARNING, "answer that belongs to no request in progress"
)
PACE_CHANGED = _define(880, logging.INFO, "pace of a backend server changed")
WINDOW_RESTARTED = _define(
    881, logging.INFO, "backend server new or back, few requests at first"
)
WINDOW_CUT = _define(882, logging.INFO, "backend server late, fewer requests")
WINDOW_FULL = _define(883, logging.INFO, "backend server in full use again")
PACE_ACTIVE = _define(884, logging.INFO, "servers are chosen by their pace")
RATE_OWNER_SILENT = _define(856, logging.WARNING, "owner of the rates is silent")
RATE_USED = _define(890, logging.INFO, "tokens granted and refused in a second")
RATE_OWNED = _define(891, logging.INFO, "owner of the rates refused or queued requests")
RATE_OWNER_BEGAN = _define(892, logging.INFO, "owner of the rates begins to lend")
STREAM_LATE = _define(893, logging.INFO, "stream late")
STREAMS_ENDED = _define(894, logging.INFO, "streams answered in a second")

# Engines beside an agent: 900 to 949.
ENGINE_LOST = _define(900, logging.WARNING, "engine does not answer")
ENGINE_FOUND = _define(901, logging.INFO, "engine answers")
ENGINE_ORDERED = _define(902, logging.INFO, "order given to the engine")
ENGINE_ORDER_FAILED = _define(903, logging.WARNING, "order to the engine failed")
ENGINE_CHANGED = _define(904, logging.INFO, "models of the engine changed")
DEMAND_DROPPED = _define(905, logging.WARNING, "demand that cannot be true dropped")
LOAD_HELD_BACK = _define(906, logging.INFO, "wanted model not loaded now")
STORE_OWNER_SILENT = _define(907, logging.WARNING, "owner of the store's turns silent")
STORE_SPEED_LEARNED = _define(908, logging.INFO, "loads at once from the store learned")
STORE_SLOT_GRANTED = _define(909, logging.INFO, "load slot of the store granted")
STORE_SLOT_RETURNED = _define(910, logging.INFO, "load slot of the store returned")
