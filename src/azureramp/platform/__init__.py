"""The adapter to the users' platform: its settings, wire names and calls.

They are used in this package only, and only the daemon's entry point imports
the package.
"""
