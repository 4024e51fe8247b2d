"""Constants with their units."""

# Links between processes.

LINK_REQUEST_TIMEOUT_S = 2.0
LINK_SEND_QUEUE_MESSAGES = 10_000
LINK_HEARTBEAT_MS = 1_000
LINK_MESSAGE_LIMIT_BYTES = 32 * 1024 * 1024

# Replicated log and storage.

# Five heartbeats fit into one election timeout, so that a single lost heartbeat
# or a pause of the event loop causes no election.
LOG_ELECTION_TIMEOUT_S = 0.5
LOG_HEARTBEAT_S = 0.1
LOG_TICK_S = 0.025
LOG_PROPOSE_TIMEOUT_S = 3.0
LOG_READ_TIMEOUT_S = 2.0
LOG_MEMBER_CHANGE_TIMEOUT_S = 30.0
LOG_PROBE_INTERVAL_S = 0.2
LOG_PROBE_VALID_S = 1.0
LOG_MEMBER_POLL_S = 0.05
LOG_APPEND_LIMIT_BYTES = 1024 * 1024
LOG_APPEND_LIMIT_ENTRIES = 1_000
# Bounds what is queued for a member that has stopped answering.
LOG_WINDOW_BYTES = 4 * 1024 * 1024
LOG_WINDOW_ENTRIES = 8_000
LOG_SNAPSHOT_CHUNK_BYTES = 256 * 1024
LOG_SNAPSHOT_THRESHOLD_ENTRIES = 10_000
# A member that is less far behind than this gets entries, not a snapshot.
LOG_RETAINED_ENTRIES = 500
LOG_RETAINED_BYTES = 4 * 1024 * 1024
# Bounds the memory for entries since the last snapshot.
LOG_SNAPSHOT_THRESHOLD_BYTES = 16 * 1024 * 1024
LOG_LEARNER_GAP_ENTRIES = 50
LOG_COMMAND_LIMIT_BYTES = 16 * 1024 * 1024
LOG_PENDING_LIMIT_COMMANDS = 20_000
LOG_SEGMENT_BYTES = 16 * 1024 * 1024
LOG_ALLOCATE_BYTES = 1024 * 1024
LOG_FULL_DISK_RETRY_S = 0.2
LOG_PEER_QUEUE_BATCHES = 1_000
LOG_RECONNECT_MS = 50
LOG_RECONNECT_MAX_MS = 500

# Order claims and recorded answers.

# Rate accounts.

# Dissemination, freshness and membership.

FRESHNESS_LEASE_S = 3.0
FRESHNESS_PING_INTERVAL_S = 0.5
REPORT_INTERVAL_S = 1.0

# Placement, loads, pacing, memory and eviction.

# Routing, queues, admission and retries.

DEFAULT_DEADLINE_MS = 30_000
DEFAULT_MAX_TOKENS = 256

# HTTP.

HTTP_HEAD_LIMIT_BYTES = 32 * 1024
HTTP_BODY_LIMIT_BYTES = 8 * 1024 * 1024
HTTP_HEAD_TIMEOUT_S = 10.0
HTTP_BODY_TIMEOUT_S = 30.0
HTTP_IDLE_TIMEOUT_S = 60.0
