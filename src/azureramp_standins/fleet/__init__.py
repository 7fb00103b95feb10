"""Test doubles for the users' platform's protocol, with fault injection."""
