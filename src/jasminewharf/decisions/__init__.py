"""Decisions: pure functions and state machines.

Nothing here reads a clock, opens a socket or creates a random source.
"""
