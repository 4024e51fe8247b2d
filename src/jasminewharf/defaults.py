"""Constants with their units."""

# Services.

CANCEL_AGAIN_S = 0.5
# Longer than a process that held the address before may take to end.
LISTEN_PATIENCE_S = 10.0
LISTEN_RETRY_S = 0.2

# Links between processes.

LINK_REQUEST_TIMEOUT_S = 2.0
LINK_SEND_QUEUE_MESSAGES = 10_000
LINK_HEARTBEAT_MS = 1_000
LINK_HEARTBEAT_TIMEOUT_MS = 3_000
LINK_LINGER_MS = 500
# Far longer than a round trip between regions, shorter than the second after which the
# kernel repeats an opening packet that met a host without power.
LINK_CONNECT_TIMEOUT_MS = 300
LINK_RECONNECT_MS = 50
LINK_RECONNECT_MAX_MS = 500
LINK_CONNECT_POLL_S = 0.005
# Ten times the nodes of the target size; the longest silent ones leave first.
LINK_PEERS_LIMIT = 4_000
LINK_MESSAGE_LIMIT_BYTES = 32 * 1024 * 1024
# The largest frame that a server takes; frames are received whole before anything says
# who sends them.
LINK_FRAME_LIMIT_BYTES = 1024 * 1024
# Larger payloads are sent in parts of this size. A frame has room for its envelope.
LINK_PART_BYTES = 512 * 1024
# Far longer than the largest payload takes; what stays incomplete is dropped then.
LINK_PARTS_KEPT_S = 10.0

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
LOG_FULL_HANDOVER_S = 1.0  # Longer than an election of the successor.
LOG_LEADERLESS_S = 3.0  # Longer than an election.
LOG_LEADERLESS_REPEAT_S = 10.0
LOG_PEER_QUEUE_BATCHES = 1_000
# Four times the largest number of control hosts.
LOG_PEERS_LIMIT = 28
LOG_PEER_FORGET_S = 60.0  # Far longer than a restart of a control host.
LOG_RECONNECT_MS = 50
LOG_RECONNECT_MAX_MS = 500

# Documents and keys.

DOCUMENT_HISTORY = 50
REMEMBERED_SUBMISSIONS = 4_096

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

# A node pings this many times per lease, so that two lost pings are borne.
FRESHNESS_PING_SHARE = 0.25
FEED_FAILURES_BEFORE_MOVE = 2
# Without an answer for this long, a node asks the other control hosts too.
FEED_ANSWER_S = 0.3
HOST_LIST_INTERVAL_S = 0.5
CONTROL_RETRY_S = 0.05
REPORT_INTERVAL_S = 1.0
FRESHNESS_LEASE_S = 3.0
SUSPECT_AFTER_S = 5.0
LOST_AFTER_S = 30.0
FORGET_AFTER_S = 3600.0
# Lives of a node whose late reports are recognised.
RETIRED_INCARNATIONS = 16
# A node further behind than this many commands is sent a snapshot.
FEED_CHANGES_LIMIT = 1_000
DIGEST_INTERVAL_S = 0.1
# Entries hear of an agent whose load alone has changed this often.
DIGEST_LOAD_INTERVAL_S = 30.0
CONTROL_ATTEMPT_S = 1.0
CONTROL_SILENT_S = 1.0  # How long a host that gave no answer is asked last.
CONTROL_QUICK_ATTEMPT_S = 0.3  # Of a request that may be repeated and is urgent.
OPERATOR_ATTEMPT_S = 3.0

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
MEMORY_CLAIM_S = 30.0
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

# An agent reads its engine's state this often, and more often during a load.
ADAPTER_SLOT_RETRY_S = 0.02
ENGINE_POLL_S = 0.5
ENGINE_BUSY_POLL_S = 0.05
# Events that arrive within this time are planned for together.
PLAN_PAUSE_S = 0.01

# Routing, queues, admission and retries.

DEFAULT_DEADLINE_MS = 30_000
# An agent ends a call at its deadline; the entry waits this much longer for word.
DEADLINE_GRACE_S = 0.5
# A call whose link is lost waits this long for the same agent life to come back.
RESUME_WINDOW_S = 3.0
# An agent keeps a finished answer this long for an entry that missed its end, which
# is a second more than an entry waits for the agent; and no more answers than this.
REPLAY_KEPT_S = 4.0
REPLAY_KEPT_CALLS = 2_000
ESTIMATE_INTERVAL_S = 0.1
ESTIMATE_KEPT_S = 5.0
# Weight of the newest interval between tokens in its running mean.
TOKEN_INTERVAL_GAIN = 0.1
CACHE_FEED_INTERVAL_S = 0.5
FORWARD_RETRY_S = 0.02
# An entry reports the age of a model's last call for this long.
DEMAND_MEMORY_S = 60.0
MS_PER_S = 1000
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
HEALTH_SILENCE_S = 2.0  # Longer than a sound server falls silent.
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

HTTP_BACKLOG = 1024
# A refused caller has this long to read why, while it may still be sending.
HTTP_LINGER_S = 0.5
# At most this many connections beyond the limit are answered at a time.
HTTP_REFUSED_CONNECTIONS = 64
HTTP_LINGERING_CONNECTIONS = 256  # Answered ones that wait for their close.
HTTP_CONNECT_TIMEOUT_S = 1.0
HTTP_FETCH_TIMEOUT_S = 5.0
HTTP_IDLE_CONNECTIONS = 32
IDLE_CONNECTIONS_PART = 0.5  # Of what a server accepts, for all nodes.
# A hundred such answers at a time fit an entry's memory of 200 MB only in part, so that
# answers are far smaller as a rule; what is larger is not an answer.
REFUSAL_BODY_BYTES = 64 * 1024
REFUSAL_BODY_S = 0.2
HTTP_INTERIM_HEADS = 16  # Before the head of the answer itself.
HTTP_ANSWER_LIMIT_BYTES = 16 * 1024 * 1024
# A server that waited so long for its stream to be read may have given up on it.
STREAM_UNREAD_S = 0.2
STREAM_EVENT_LIMIT_BYTES = 1024 * 1024  # A thousand times a usual event.
# Parts of an answer, which may be chunks of a byte, that are read in one turn.
HTTP_EVENTS_IN_TURN = 64
HTTP_UNREAD_BYTES = 256 * 1024
# Of requests sent ahead on one connection, and how much of them is parsed at a time.
HTTP_AHEAD_BYTES = 256 * 1024
HTTP_AHEAD_ROOM_BYTES = 128 * 1024  # Free again before more of them is read.
HTTP_PARSED_BYTES = 64 * 1024
# While memory for requests is short; a head of the documented 16 kB fits.
HTTP_AHEAD_SHORT_BYTES = 32 * 1024
# A connection parses pieces of HTTP_PARSED_BYTES until it has had so much; then others
# have a turn. One piece takes 7 ms if its chunks have one byte each.
HTTP_TURN_BYTES = 32 * 1024
# Bodies are kept in blocks of one size, which the allocator can use for any other.
HTTP_BODY_BLOCK_BYTES = 64 * 1024
# Connections that hold less are not counted: half of 1,638 descriptors hold 3 MB then.
HTTP_COUNTED_BYTES = 4 * 1024
# Larger bodies and answers are not joined with their heads, which would copy them.
HTTP_JOINED_BYTES = 64 * 1024
# Divisors of the descriptors that a process may open: connections of callers, those
# beyond them that are told so, and answered ones that wait for their close. The rest is
# for backend servers, links and files.
HTTP_CONNECTIONS_PART = 2
HTTP_REFUSED_PART = 16
HTTP_LINGERING_PART = 8
HTTP_DESCRIPTORS_MAX = 65_536
# Accepted in one turn of the event loop; more could take all descriptors at once.
HTTP_ACCEPTED_IN_TURN = 32
SHED_LOG_INTERVAL_S = 1.0
SHED_RETRY_MS = 1_000
# How often connections that are not read are looked at for a close.
HTTP_WATCH_S = 0.02
# A caller that ended its sending side and takes no byte for so long has left; work for
# it must have ended half a second after its close, at the backend server too.
HTTP_HALF_CLOSE_S = 0.2
HTTP_TAKEN_S = 0.15  # From a write until the caller's host acknowledges it.
# A server's time-out runs from an earlier moment than the client's clock sees.
HTTP_KEEP_ALIVE_SHARE = 0.7
# A connection remembers the identifiers of that many requests, eight bytes for each.
HTTP_CONNECTION_REQUESTS = 512
# A server that repeats answers without end is given up.
HTTP_EXTRA_ANSWERS = 4
HTTP_EXTRA_ANSWER_BYTES = 1024 * 1024
# After an answer without an identifier, which may or may not be the request's own.
HTTP_UNNAMED_WAIT_S = 0.5
# Of an identifier that a server names; longer ones are cut in log lines.
LOGGED_IDENTIFIER_CHARACTERS = 64
DRAIN_POLL_S = 0.02
DRAIN_FRESH_S = 0.5  # How long a new connection is kept for its first request.
DRAIN_AHEAD_S = 1.0  # How long requests sent ahead are answered on a connection.
DRAIN_ACCEPT_S = 0.25  # How long connections are accepted that arrive without end.
DRAIN_QUIET_TURNS = 3  # Of the event loop, which makes a transport in the next turn.

# Traces.

SPAN_QUEUE = 10_000
SPAN_WRITE_INTERVAL_S = 0.5

# Operators' tool.

# An account counts as over its rate for this long after it lacked tokens.
STATUS_OVER_RATE_S = 5.0
# Adding a member may wait for a snapshot on top of the change itself.
MEMBER_REQUEST_TIMEOUT_S = 40.0
PROGRESS_INTERVAL_S = 1.0
WAIT_POLL_S = 0.1
WAIT_TIMEOUT_S = 60.0

# Secure links and TLS.

# Changed key files and certificates are taken up within this time.
CURVE_REFRESH_S = 0.5
TLS_REFRESH_S = 0.5
# ZeroMQ gives a connection up once its key was refused; it is made anew after
# this time, since the key may have become trusted.
CURVE_RETRY_S = 1.0

# Fleets that find their control hosts and backend servers.
CONFIGURATION_COMMIT_S = 2.5  # Below the acknowledgement that operators wait for.
REPAIR_INTERVAL_S = 0.5
REPAIR_LEADERLESS_S = 3.0  # Longer than an election.
REPAIR_SILENT_S = 6.0  # Of a learner, which may be installing a snapshot.
# Of a voter beyond those that the promised losses need.
REPAIR_SPARE_SILENT_S = 2.0
REPAIR_LEAVE_S = 1.5  # For which a control host that stops waits to lose its vote.
BROADCAST_INTERVAL_S = 0.25
SERVER_LIST_INTERVAL_S = 1.0  # A third of the time in which a leaving server counts.
# Between the receipt of an operator's call and the confirmation of the state that it
# changes: one that takes longer may have been overtaken by a later call.
EVACUATION_CONFIRM_S = 1.0
EVACUATED_RETRY_MS = 1_000  # Evacuations take minutes; callers may try other entries.
# One more reading of the list, and its way to an agent.
SERVER_LIST_SETTLED_S = 1.2
SERVER_LIST_STALE_S = 2.5  # Two reads and the way to a control host.
SERVER_LIST_TIMEOUT_S = 1.0
SERVER_LIST_PAGES_LIMIT = 100

# Engines beside agents.
AGENT_WATCH_S = 1.0
AGENT_FRESH_S = 3.0  # Three heartbeats of an agent.
ENGINE_HEARTBEAT_S = 1.0
# Reports of engines over the control hosts. Entries that deal with an engine hear of
# its models directly; for the others the age of a report is well below a load's time.
RELAY_INTERVAL_S = 0.1  # Between control hosts.
RELAY_SPREAD_S = 0.2  # To the nodes that follow one.
RELAY_LOAD_INTERVAL_S = 0.5  # Answers bring the load of engines in use.
RELAY_FOLLOW_S = 3.5  # Three renewals of a follower.
RELAY_FORGET_S = 30.0  # Longer than an agent is away for a restart.
RELAY_LATE_S = 1.6  # More than a heartbeat and the way; then agents are asked directly.
# Agents that a node follows directly at most: all of a small fleet, or some of a large
# one while the relay is silent, where all would cost most just then.
DIRECT_FOLLOW_LIMIT = 8
AGENT_LINK_IDLE_S = 3.0  # Most requests for a model follow each other sooner.
FOLLOW_POLL_S = 0.5  # How soon a node asks the control host that it moved to.
AGENT_CONNECT_S = 0.5  # A few ways between hosts; a lost opening packet takes 0.3 s.
AGENT_LINK_QUEUE = 32  # Messages kept until a new link is connected.
FEED_NEAR_RETRY_S = 10.0  # How long a near control host that failed is left alone.
ENGINE_LOAD_INTERVAL_S = 0.25
COPIES_KEPT_S = 0.5  # Copies change with loads, which take longer.
ROOM_COST_STEP_S = 0.3  # Request-seconds: a change that moves a load elsewhere.
BLOCKED_STEP = 0.5  # Requests a second, likewise.
ENGINE_IDLE_POLL_S = 0.2
ENGINE_ORDER_POLL_S = 0.03  # Near the end of an order.
ENGINE_WANTED_POLL_S = 0.05  # While a model waits for room.
ENGINE_ADAPTER_POLL_S = 0.005  # An adapter from the engine's own copies takes as long.
ENGINE_ADAPTER_S = 0.05  # An adapter from the store, with the lag of reports.
ENGINE_REPORT_TIMEOUT_S = 0.5
ENGINE_SILENT_S = 1.5  # Without a report: longer than a sound engine falls silent.
STORE_ASK_S = 0.3  # Between an agent's questions for a turn at the store.
STORE_ASK_TIMEOUT_S = 0.4  # An agent gives its engine no order meanwhile.
STORE_HOLD_S = 1.0  # A third of the time after which the owner forgets a load.
STORE_UNUSED_S = 3.0  # Longer than the unload of a model in use.
STORE_SILENT_S = 2.0  # How long an owner that gave no answer is not asked.
ENGINE_ORDER_TIMEOUT_S = 0.5
ENGINE_LATE_LOAD_S = 3.0  # By which a load of an engine that is silent may be late.
ENGINE_ORDERS_IN_A_ROW = 4
ENGINE_UNLOAD_S = 0.1  # Of a model that nobody uses.
ENGINE_BUSY_UNLOAD_S = 1.5  # Of a model with running requests.
ENGINE_NOTICE_S = 0.01  # A few ways between hosts, so that entries know of an unload.
ADAPTER_WAIT_S = 2.0  # Longer than a load from disk.
ADAPTER_ATTEMPTS = 3

# Requests to found backend servers.
AGE_LIMIT_S = 1_000_000.0  # Beyond it nothing was ever told.
CHANGE_WAIT_S = 0.1
CONNECTIONS_TIDY_S = 2.0
KEPT_REPEAT_S = 0.25  # In which the close of a kept connection crosses a request.
KEPT_IDLE_S = 2.0
MODEL_RETRY_MS = 2_000
PATIENCE_PART = 0.9  # Of a caller's patience: the way to it and back.
RETURN_MARGIN_S = 0.3  # Beyond the estimate of a load, so that callers return once.
WANT_REPEAT_S = 0.3
REPEAT_EARLY_PART = 0.9  # A repeat that comes a little early is one.
# How long a refused caller counts, and from when on a model is asked for on behalf of
# such callers alone: an engine's time belongs to those who wait until none was served
# for longer than callers have patience.
REFUSED_COUNT_S = 10.0  # As long as callers of a model ask again and others come.
MISSED_KEPT_S = 15.0
MISSED_ASK_S = 10.0
MISSED_WEIGHT = 0.1  # Less than a late request: nobody waits.
USE_INTERVAL_S = 0.2
USE_REPEAT_S = 1.0
SERVER_ABSENT_STATUS = 421
SERVER_BUSY_RETRY_MS = 250
SERVER_ERROR_STATUS = 500
SERVER_FULL_PAUSE_S = 0.05
SERVER_FULL_PAUSE_MAX_S = 0.8
SERVER_FULL_STATUS = (429, 503)
# Tell callers that their request has not run and never will.
PROMISE_STATUS = (408, 421, 429, 503)
SERVER_CONNECT_S = 0.5
# A server that asks for more is asked again after this time, so that a wrong figure
# cannot take it out of use for good.
SERVER_PAUSE_LIMIT_S = 300.0
BACKPRESSURE_RETENTION_S = (
    600.0  # Longer than a server is missing from the list by mistake.
)
# Limits that backend servers name for all hosts together.
# Heads of answers overtake each other by less than this.
ANSWER_OVERTAKE_S = 1.0
# Each request to the server confirms its limit or ends it, so that only a server that
# nobody asks any more keeps one for so long.
LIMIT_UNCONFIRMED_S = 300.0
LIMIT_ENDED_KEPT_S = 10.0  # Longer than an answer of before the end is on its way.
# A server whose limit is lower gets a request this often all the same: its answer tells
# that the limit has ended.
LIMIT_TRIAL_S = 1.5
# In any such window a server may get the factor times its limit and so many more.
LIMIT_WINDOW_S = 4.0
LIMIT_WINDOW_FACTOR = 1.5
LIMIT_WINDOW_EXTRA = 5
LIMIT_CONFIRM_S = 1.0  # A limit that is older is worth a request to confirm it.
LIMIT_SHARE_S = 0.1  # Between news of limits from the owner to the control hosts.
LIMIT_REPEAT_S = 1.0  # Repeats what was lost while a link was made anew.
PERMIT_BURST_S = 0.1  # Permits that are saved while the owner's event loop is late.
PERMIT_RENEW_S = 0.3  # Between a node's questions for a permit that it waits for.
PERMIT_SILENT_S = 1.0  # Three renewals.
# Permits are used within this time of the question that brought them, or returned.
PERMIT_VALID_S = 1.0
PERMIT_RETURN_S = 2.0
PERMIT_UNDER_WAY_S = 0.5  # A request that was permitted so lately may still arrive.
PERMIT_DEBT_LIMIT = 2  # Permits: more would keep a server idle for long.
PERMIT_ASK_TIMEOUT_S = 0.4
PERMIT_OWNER_SILENT_S = 0.3  # How long an owner that gave no answer is not asked.
PERMIT_TICK_S = 0.05  # Between looks for requests to renew and at the local share.
PERMIT_REVIEW_S = 0.3  # Between looks for a server that takes a waiting request sooner.
PERMIT_ORDER_WAIT_S = 1.6  # Of an order to an engine: a little over one trial.
PERMIT_TRIAL_WAIT_S = 0.1  # Of a request that another server takes otherwise.
PERMIT_QUEUE_LIMIT = 200  # Requests that wait for one server.
# Requests that crash backend servers.
# A connection to a server that has ended is refused at once.
SERVER_PROBE_S = 0.3
SERVER_ENDED_KEPT_S = 60.0  # Longer than its last requests take to break off.
POISON_PARTS_LIMIT = 16  # Parts of one prompt that are looked at.
POISON_TABLE_LIMIT = 512  # Parts under suspicion in the fleet.
POISON_ANSWERED_LIMIT = 8_192  # Parts that a node knows to have been answered.
POISON_ENDS_KEPT = 8
# Ends of several servers within this time count once, so that a fault that ends many
# servers accuses no part.
POISON_SPACING_S = 1.0
POISON_REFUSED_ENDS = 3
# The same of parts that were answered whole before.
POISON_ANSWERED_SUSPECT_ENDS = 4
POISON_ANSWERED_REFUSED_ENDS = 5
POISON_LATE_SUSPECT_ENDS = 2  # Of a request whose answer had gone on for a while.
POISON_REFUSED_S = 60.0  # Doubles with each trial that ends a server.
POISON_REFUSED_LIMIT_S = 960.0
# Of whole requests; few repeats may reach servers after the first three ends.
POISON_WHOLE_REFUSED_S = 600.0
POISON_WHOLE_REFUSED_GROWTH = 6
POISON_WHOLE_REFUSED_LIMIT_S = 86_400.0
POISON_WHOLE_KEPT_S = 3_600.0  # Of a request that comes rarely.
POISON_SUSPECT_KEPT_S = 300.0
# A server takes longer than this to end twice.
POISON_SAME_END_S = 1.0
# Longer than a server that has ended takes to return under its name, or stays listed.
POISON_DOWN_S = 5.0
# Until the news of a trial's end has reached the other entries.
POISON_NEWS_S = 0.3
# After which the server of a request that was given up has ended under it, or not.
POISON_LEFT_S = 1.0
POISON_SPARED_SERVERS = 2  # Of a service, not put at risk by trials.
POISON_TRIAL_IDENTITIES = POISON_PARTS_LIMIT + 3
POISON_CLEARED_KEPT_S = 30.0  # Longer than an older report of an end is on its way.
# An answer that has gone on for so long does not end its server at its beginning.
POISON_PROGRESS_S = 1.0
# After which the next one on trial may go.
POISON_TRIAL_PROGRESS_S = 0.5
POISON_TRIAL_S = 10.0  # Of a trial whose node is lost.
POISON_TRIAL_POLL_S = 0.1
POISON_TRIAL_WAIT_S = 1.0
POISON_ASK_TIMEOUT_S = 0.4
POISON_RETRY_S = 1.0  # For callers whose part is under suspicion.
POISON_SHARE_S = 0.05
POISON_REPEAT_S = 5.0
LOCAL_SHARE_PART = 0.4  # Of a limit, for all nodes that have lost its owner.
STATUS_PART = 0.25
STATUS_LIMITED_S = 4.0
# A request is sent, but not in the engine's report yet, for at most this time.
ENGINE_MEMORY_LAG_S = 0.3
# Cold servers. In any second the server's bound is split into sends by permits, by
# entries that need not ask, and by those that reach no owner.
COLD_HOLDERS_PART = 0.25
COLD_LOCAL_PART = 0.15
# Sends of entries without an owner fall into the same second by chance.
COLD_LOCAL_USED_PART = 0.3
COLD_PERMIT_VALID_S = 0.5  # From the question on; nodes renew it each 0.3 s.
COLD_ARRIVAL_S = 0.1  # Between the first byte's leaving and its arrival, at most.
# Permits that are issued within this time of each other can arrive in one second.
COLD_COUNTED_S = 1.0 + COLD_PERMIT_VALID_S + COLD_ARRIVAL_S
COLD_SPACING_S = 1.0 + COLD_ARRIVAL_S
COLD_WARM_LAG_S = 0.6  # Until nearly all entries know that a server has turned cold.
COLD_OVERLAP_S = 0.1  # In which a former owner may not know that it was replaced.
COLD_HELD_LIMIT_S = 5.0  # Longer than an owner can say.
COLD_FRESH_S = 1.5  # Three repeats of an agent.
COLD_REPEAT_S = 0.5
COLD_SHARE_S = 0.05  # Between news of cold servers from a control host.
COLD_LEAD_POLL_S = 0.25
COLD_POLL_S = 0.1  # Between an agent's looks whether its engine has turned cold.
COLD_ADMIT_WAIT_S = 0.3  # For a permit, before another server is looked for.
COLD_REFUSED_S = 0.1  # For which a server without a permit counts as limited.
COLD_LONGEST_FACTOR = 10  # Of the usual cold time: more is not believed.
COLD_LONGEST_S = 60.0  # Where no usual time is configured.
COLD_RANK_KEPT_S = 1.0
UNKNOWN_HEADERS_LIMIT = 64  # Names that are logged once each; others are only counted.
SERVER_SILENT_S = 1.6  # With requests in flight: longer than a sound one falls silent.
SERVER_AVOIDED_S = 2.0
SILENCE_WATCH_S = 0.2
STREAM_SILENCE_S = 1.5
LOOP_LATE_S = 0.05  # An event loop that is later has been held up.
SILENCE_MIN_S = 0.15
SILENCE_PART = 0.4

# Pace of backend servers.
PACE_CHANGES_LIMIT = 8  # Changes of one server between two looks at them.
# Reports and answers bring the load of a server this long after a request began there.
PACE_BLIND_S = 0.3
PACE_RATE_WINDOW_S = 2.0  # In which the requests of a service are counted.
PACE_SILENCE_MAX = 2.0  # Times the usual wait for a slow server's next piece.
PACE_GAPS_LEAST = 8  # Events of a stream from which its pace can be told.
PACE_STEP_PERCENT = 10  # Change that an agent reports before its next heartbeat.
PACE_AGENT_SAMPLES = 10  # Reads of an agent that its mean of the pace counts for.
# Parts of the retries that the deployment allows: of its share, and of its slack what
# is kept and what is earned in a window, which add up to less than 1.
RETRY_SHARE_PART = 0.8
RETRY_STOCK_PART = 0.6
RETRY_GROWTH_PART = 0.3
ENTRY_COUNT_INTERVAL_S = 0.25
ENTRY_COUNT_SETTLED_S = 1.0  # For which no further entry has linked.

# Rates lent by the owner.
BORROW_TIMEOUT_S = 0.5
ENTRIES_GUESS = 10  # Before the owner has told the number.
RATE_OWNER_POLL_S = 0.1  # Between looks for a change of owner, or for an owner at all.
RATE_REPORTS_S = 1.5  # How long a new owner asks what entries were lent before.
RATE_ASK_AGAIN_S = 0.002  # Of a queued request, at least.
RATE_WAITED_S = 0.01  # Longer than the answer to a question takes as a rule.
# No leader is known to a control host that answered so lately: nobody lends.
RATE_LEADERLESS_S = 1.0
RATE_OWNER_RETRY_MS = 500
RATE_RENEW_S = 0.5  # The age of tokens that are exchanged before a request is sent.
RATE_OWNER_PART = 0.75  # Of a caller's time, for an owner that gives no answer.
FOUNDING_S = 8.0  # How long after the first start nobody can have spent a rate.
RATE_PATIENCE_PART = 0.12  # Of the target: a wait that callers hardly see.
# Of a request whose model is there at last: it has waited for longer than this already.
RATE_WAITED_PATIENCE_S = 1.0
RATE_RETURN_S = 0.1  # How often tokens that expired go back to the owner.
RATE_RETRY_MIN_MS = 200
RATE_WORKSPACES_SHOWN = 32  # In one line of the account; more lines follow.
ACCOUNT_LOG_S = 1.0  # Between lines that sum up decisions.

# Stopping.
# A stopping agent waits this long for the entries to send it nothing more.
AGENT_LEAVE_S = 1.0
DRAIN_NOTICE_S = 2.5  # Two questions of a balancer that asks once a second.
DRAIN_NOTICE_PART = 0.5  # At most, of a grace that is shorter.
# What is taken during a stop has to end in it.
STOP_ANSWERS_KEPT = 64
STOP_ANSWERS_LEAST = 5
STOP_ANSWERS_PART = 0.95
STOP_MARGIN = 1.25
STOP_ROUTES_LIMIT = 1_000
DRAIN_WAITING_PART = 0.45  # Of the grace: time to be served elsewhere after it.
DRAIN_RUNNING_PART = 0.92
GRACE_PART = 0.95  # The rest is for closing sockets before the process is killed.
DRAIN_ANSWERED_PART = 0.98  # If requests that were ended have no answer yet.
DRAIN_END_TURNS = 10  # Of the event loop, however late it is.
SETTINGS_REFRESH_S = 2.0
# A file that was changed less long ago may not be written whole yet.
SETTINGS_WRITTEN_S = 1.0
SETTINGS_READ_AGAIN_S = 0.05
