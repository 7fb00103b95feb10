"""Test doubles of the platform and the searchers, and tools built on them."""
