"""Decision logic: pure functions and state machines without I/O.

Modules here have no clock, socket, file or random source of their own; ``now`` in
monotonic seconds and the random source are arguments.
"""
