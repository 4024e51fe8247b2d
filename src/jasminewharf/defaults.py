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

PLAN_INTERVAL_S = 0.05
STORE_LOADS_PER_S = 2.0
STORE_CONCURRENT_LOADS = 4
# Loading estimates per GB of weights and tier, used until loads are measured.
LOAD_BASE_S = 1.0
LOAD_S_PER_GB = {"memory": 0.05, "disk": 0.35, "remote": 1.0}
# Weight of the newest load in a tier's usual load time, by direction.
FASTER_LOAD_GAIN = 0.1
SLOWER_LOAD_GAIN = 0.02
# Report lag makes short loads look slow; a difference below this is ignored.
SLOW_LOAD_MIN_S = 1.0
UNLOAD_S = 1.0
# An overdue load is expected to take this share of its age longer.
OVERDUE_SHARE = 0.25
# The shortest window over which a backlog is spread when replicas are counted.
BACKLOG_WINDOW_MIN_S = 5.0
# A demand report that is not renewed within this time is dropped (3 reports).
DEMAND_EXPIRY_S = 3.0
# Replicas of an unreachable agent count as ready for this long, so that an agent
# restart of a few seconds starts no load elsewhere.
UNREACHABLE_GRACE_S = 5.0
# No replica is unloaded for idleness or room sooner than this after its load
# ended, and none is evicted for room unless it has been idle for this long.
RESIDENCE_MIN_S = 20.0
EVICTION_IDLE_MIN_S = 5.0
# A backend server's queue is divided among its models called within this time.
QUEUE_SHARE_WINDOW_S = 5.0
SURPLUS_HOLD_S = 60.0
SURPLUS_UTILISATION = 0.6
ROOM_CLAIM_S = 30.0
# A replica of a leaving host is replaced at once if its model was called within
# this time, otherwise at the next call.
MOVE_IDLE_MAX_S = 30.0
PLACEMENT_RETRY_S = 0.25
PLACEMENTS_PER_PLAN = 8
PLACEMENT_SHORTLIST = 16
# A model with enough replicas is looked at again after this time; a cold one is
# looked at in every plan.
DEMAND_CHECK_INTERVAL_S = 0.25
IDLE_CHECKS_PER_PLAN = 16
IDLE_CHECK_INTERVAL_S = 1.0
LOAD_FAILURE_BACKOFF_S = 5.0
LOAD_FAILURE_BACKOFF_MAX_S = 120.0
# Score added to a candidate in seconds, compared with seconds of load time.
PLACEMENT_ZONE_PENALTY_S = 2.0
PLACEMENT_QUEUE_PENALTY_S = 0.5
PLACEMENT_FILL_PENALTY_S = 1.0
EVICTION_GAPS_KEPT = 64
EVICTION_PRIOR_GAPS = 4
EVICTION_POOLED_GAPS = 512
EVICTION_PRIOR_GAP_S = 600.0
# Weight of the newest cold start in the mean number of its callers.
CALLERS_GAIN = 0.2
# One burst of hundreds of calls says little about the next cold start.
CALLERS_MAX = 6.0
EVICTION_TTL_S = 300.0
# Cost of a second of cold start and of an idle accelerator hour. With these, a
# cold start of 10 s costs as much as 200 s of one idle accelerator.
COLD_START_WEIGHT = 1.0
IDLE_HOUR_WEIGHT = 180.0
# Pacing of loads from the weight store.
PACING_MIN_LOADS_PER_S = 0.05
PACING_INCREASE_LOADS_PER_S = 0.1
PACING_DECREASE_FACTOR = 0.5
PACING_SLOW_FACTOR = 1.75
PACING_DECREASE_HOLD_S = 5.0
ADAPTER_LOADS_IN_FLIGHT = 30
ADAPTER_SLOT_LEASE_S = 2.0
# Clock drift of 0.1% and the time a grant is on its way.
ADAPTER_SLOT_MARGIN_S = 0.5
ADAPTER_BATCH = 8

# Routing, queues, admission and retries.

DEFAULT_DEADLINE_MS = 30_000
DEFAULT_MAX_TOKENS = 256

# HTTP.

HTTP_HEAD_LIMIT_BYTES = 32 * 1024
HTTP_BODY_LIMIT_BYTES = 8 * 1024 * 1024
HTTP_HEAD_TIMEOUT_S = 10.0
HTTP_BODY_TIMEOUT_S = 30.0
HTTP_IDLE_TIMEOUT_S = 60.0
