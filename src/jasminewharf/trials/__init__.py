"""Trials: real processes on loopback, faults, recorded histories and checks."""
