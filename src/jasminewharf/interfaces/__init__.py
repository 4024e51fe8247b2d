"""Interfaces: HTTP towards callers and the command lines."""
