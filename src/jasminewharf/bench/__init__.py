"""Experiments, their checkers and the load tool."""
