"""Constants with their units."""

# Links between processes.

LINK_REQUEST_TIMEOUT_S = 2.0
LINK_SEND_QUEUE_MESSAGES = 10_000
LINK_HEARTBEAT_MS = 1_000
LINK_HEARTBEAT_TIMEOUT_MS = 3_000
LINK_LINGER_MS = 500
LINK_RECONNECT_MS = 50
LINK_RECONNECT_MAX_MS = 500
LINK_CONNECT_POLL_S = 0.005
LINK_MESSAGE_LIMIT_BYTES = 32 * 1024 * 1024

# Replicated log and storage.

# Documents and keys.

DOCUMENT_HISTORY = 50
REMEMBERED_SUBMISSIONS = 4_096

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
