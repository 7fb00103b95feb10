"""The adapter to the users' platform: its settings, wire format and calls.

No other package depends on these details: only the daemon's entry point imports
this package.
"""
