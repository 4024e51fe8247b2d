"""Decisions: pure functions and state machines.

Modules here have no clock, socket, file or random source of their own; ``now`` in
monotonic seconds and the random source are arguments.
"""
