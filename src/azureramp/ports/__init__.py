"""Ports: everything that does I/O, each with an in-memory stand-in."""
