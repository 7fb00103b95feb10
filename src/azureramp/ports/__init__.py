"""Ports: interfaces for all I/O, each with an in-memory implementation."""
