"""The ten promises, each checked over a whole history.

The checker reads the timelines of all processes and, in tests, what callers
received and what backend servers saw. Every test of a fault uses these same
checks, so that no test has a private notion of what must hold.
"""
