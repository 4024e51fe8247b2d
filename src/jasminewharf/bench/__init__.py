"""Measurements: experiments in virtual time and load on loopback."""
