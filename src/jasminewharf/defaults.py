"""Constants with their units."""

# Links between processes.

LINK_REQUEST_TIMEOUT_S = 2.0
LINK_SEND_QUEUE_MESSAGES = 10_000
LINK_HEARTBEAT_MS = 1_000
LINK_MESSAGE_LIMIT_BYTES = 32 * 1024 * 1024

# Replicated log and storage.

# Order claims and recorded answers.

CLAIM_PARTITIONS = 4
CLAIM_WINDOW_MS = 24 * 3600 * 1000
# Wall clocks of entries may differ by this much; the window is lengthened by it.
CLAIM_CLOCK_SKEW_MS = 5 * 60 * 1000
# Claims are dropped in groups of this span, once the last of them is too old.
CLAIM_EXPIRY_SPAN_MS = 10 * 60 * 1000
CLAIM_ANSWER_LIMIT_BYTES = 64 * 1024
# Four partitions of this size leave half of a control host's 128 MB.
CLAIM_PARTITION_LIMIT_BYTES = 16 * 1024 * 1024
# New claims are refused above this share, so that running ones can be recorded.
CLAIM_ADMIT_SHARE = 0.9
# Memory of a claim besides its bytes: dict slots, object heads, expiry list.
CLAIM_OVERHEAD_BYTES = 220
# Request ids that gave a claim back are remembered, so that a late duplicate of
# such a claim does not take it again.
CLAIM_RELEASED_IDS = 8
CLAIM_REQUEST_TIMEOUT_S = 1.0
CLAIM_POLL_FIRST_S = 0.05
CLAIM_POLL_LIMIT_S = 0.5
CLAIM_RECORD_RETRY_S = 30.0
CLAIM_RETRY_AFTER_MS = 1_000

# Rate accounts.

# Clock rates of two hosts differ from true time by at most this share each.
CLOCK_DRIFT_BOUND = 0.001
GRANT_LEASE_S = 3.0
GRANT_LEASE_MARGIN_S = 0.05
GRANT_RENEW_SHARE = 0.6
# Refunds are trimmed ahead of the refill until the holder's next request, at most
# of this time: a renewal interval.
GRANT_TRIM_HEADROOM_S = 1.8
# The owner stops granting this long after the start of its last quorum read.
OWNER_LEASE_S = 1.0
OWNER_RENEW_INTERVAL_S = 0.25
OWNER_RETRY_MS = 50
# A lost request is sent again with the same sequence number after this time.
GRANT_RESEND_S = 0.25
# A request that failed at once is sent again after this time.
GRANT_RETRY_S = 0.05
# One account of one entry asks at most 100 times a second.
GRANT_ASK_INTERVAL_S = 0.01
GRANT_IDLE_S = 1.0
DEMAND_TIME_CONSTANT_S = 1.0
GRANT_LOW_WATER_S = 0.1
GRANT_HORIZON_S = 0.5
# Grants in advance pay when they cover this many calls; fewer only tie up tokens.
GRANT_ADVANCE_CALLS = 3
# At most this share of the free level is granted in advance of need.
GRANT_ADVANCE_SHARE = 0.25
GRANT_SCARCE_S = 0.5
# A call waits this long for the owner to come back before it is refused.
OWNER_WAIT_S = 2.5
# A holder of unspent tokens returns what it does not need, and asks whether tokens
# are scarce, at least this often.
GRANT_CHECK_INTERVAL_S = 0.25
# The same while the account holds more than the share of its burst, to save messages.
GRANT_CALM_CHECK_INTERVAL_S = 1.0
GRANT_PLENTY_SHARE = 0.5
# When tokens are scarce, holders return theirs and those short of them ask again.
GRANT_RECALL_INTERVAL_S = 0.05
# A call waits for tokens of other holders for a check, a return and two messages.
GRANT_RECALL_WAIT_S = 0.4
CHECKPOINT_BLOCK_SHARE = 0.1
CHECKPOINT_RAISE_INTERVAL_S = 1.0
# A full account that nobody asked for during this time leaves memory and log.
ACCOUNT_IDLE_S = 60.0
ACCOUNT_SWEEP_INTERVAL_S = 10.0
# A stopping entry waits this long for the owner to take its grants back.
ACCOUNT_DRAIN_S = 1.0

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
