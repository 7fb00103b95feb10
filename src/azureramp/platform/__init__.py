"""The adapter to the users' platform: its settings, wire names and calls.

Nothing outside this package knows them; nothing but the program's start
imports it.
"""
