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

# A node pings this many times per lease, so that two lost pings are borne.
FRESHNESS_PING_SHARE = 0.25
FEED_FAILURES_BEFORE_MOVE = 2
# Largest relative error assumed between the clocks of two hosts.
CLOCK_DRIFT_BOUND = 0.001
CONTROL_RETRY_S = 0.05
CONTROL_ATTEMPT_S = 1.0

# Placement, loads, pacing, memory and eviction.

# Routing, queues, admission and retries.

DEFAULT_DEADLINE_MS = 30_000
# An agent ends a call at its deadline; the entry waits this much longer for word.
DEADLINE_GRACE_S = 0.5
FORWARD_ATTEMPTS = 3
FORWARD_RETRY_S = 0.02
# An entry reports the age of a model's last call for this long.
DEMAND_MEMORY_S = 60.0
MS_PER_S = 1000
DEFAULT_MAX_TOKENS = 256

# HTTP.

HTTP_BACKLOG = 1024
HTTP_CONNECT_TIMEOUT_S = 1.0
HTTP_READ_BYTES = 64 * 1024
HTTP_IDLE_CONNECTIONS = 32
DRAIN_POLL_S = 0.02

# Traces.

SPAN_QUEUE = 10_000
SPAN_WRITE_INTERVAL_S = 0.5
