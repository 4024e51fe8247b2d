"""Constants with their units."""

# Links between processes.

LINK_REQUEST_TIMEOUT_S = 2.0
LINK_SEND_QUEUE_MESSAGES = 10_000
LINK_HEARTBEAT_MS = 1_000
LINK_MESSAGE_LIMIT_BYTES = 32 * 1024 * 1024

# Replicated log and storage.

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

# A queue holds at most a few deadlines' worth of work at 3,100 tokens/s.
QUEUE_LIMIT_CALLS = 1_000
QUEUE_LIMIT_TOKENS = 400_000
# A batch call competes like an interactive one after this wait.
QUEUE_AGEING_S = 5.0
# Tokens of aged batch calls served per token of interactive calls of the same
# workspace.
QUEUE_AGED_BATCH_SHARE = 0.25

ADMISSION_SLOTS = 16
# Largest share of the slots that batch calls leave to interactive ones, and the
# time over which the demand of those is averaged.
ADMISSION_RESERVE_SHARE = 0.4
ADMISSION_RESERVE_WINDOW_S = 60.0
ADMISSION_SECONDS_PER_TOKEN = 0.02
# Weight of one observation in the moving averages of admission.
ADMISSION_GAIN = 0.1
# Factor on the estimated wait in admission. 1.1 halves the calls that wait and are
# then refused, at the price of up to one in a hundred calls done.
ADMISSION_WAIT_MARGIN = 1.1
# Expected service times that must be left for a call to begin. At 1.0 three times
# as many calls run and miss their deadline; at 1.5 more wait and are then refused.
ADMISSION_LEAST_SERVICE = 1.15
# Expected rest of a call that has outlasted its estimate, as a share of it.
ADMISSION_OVERDUE_SHARE = 0.1
ADMISSION_CORRECTIONS = 1_000
ADMISSION_CORRECTION_MIN = 0.25
ADMISSION_CORRECTION_MAX = 4.0
TOKEN_RATE_WINDOW_S = 5.0
ADMISSION_RETRY_MIN_MS = 50
ADMISSION_RETRY_MAX_MS = 60_000

# Reports older than this say nothing about the load of other entries.
ROUTING_REPORT_HALF_LIFE_S = 8.0
# Load per slot at which the own zone's servers count as full.
ROUTING_SPILL_LOAD = 1.0
# Load per slot that a fully cached prompt prefix is worth.
ROUTING_AFFINITY_WEIGHT = 0.5

PREFIX_BLOCK_BYTES = 256
PREFIX_BLOCKS = 32
PREFIX_HINT_LIMIT = 50_000
PREFIX_HINT_AGE_S = 300.0
# An event this far behind the last one comes from a restarted backend server.
PREFIX_REORDERED_EVENTS = 100

HEALTH_WINDOW_S = 10.0
HEALTH_CONSECUTIVE_FAILURES = 5
HEALTH_FAILURE_SHARE = 0.5
HEALTH_MIN_CALLS = 10
HEALTH_EJECTION_S = 5.0
HEALTH_EJECTION_MAX_S = 60.0
HEALTH_PROBATION_SUCCESSES = 3
HEALTH_MAX_EJECTED_SHARE = 0.34
# Three missed reports at one a second.
HEALTH_SUSPECT_AFTER_S = 3.0
HEALTH_TRUST_REPORTS = 2

# Retries are at most this share of the requests, so that a failing pool sees at
# most a fifth more load.
RETRY_BUDGET_SHARE = 0.2
RETRY_BUDGET_FLOOR = 3.0
RETRY_BUDGET_CAP = 50.0
RETRY_ATTEMPTS = 3

STREAM_REPLAY_BYTES = 256 * 1024
STREAM_REORDER_BYTES = 256 * 1024
STREAM_GAP_S = 0.2
STREAM_RESUME_ATTEMPTS = 3
# An answer of which nothing was heard for this long is asked for again.
STREAM_IDLE_S = 5.0

# 39 ms between tokens is the target for 95 in 100.
COALESCE_TOKEN_GAP_S = 0.039
COALESCE_MIN_DELAY_S = 0.002
COALESCE_MAX_DELAY_S = 0.025
# Room for the link and for scheduling on a busy host.
COALESCE_MARGIN_S = 0.004
COALESCE_BYTES = 32 * 1024

# HTTP.

HTTP_HEAD_LIMIT_BYTES = 32 * 1024
HTTP_BODY_LIMIT_BYTES = 8 * 1024 * 1024
HTTP_HEAD_TIMEOUT_S = 10.0
HTTP_BODY_TIMEOUT_S = 30.0
HTTP_IDLE_TIMEOUT_S = 60.0
