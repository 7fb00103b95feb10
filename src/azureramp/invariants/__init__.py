"""The ten invariants of the system, each checked over a whole history.

The checker reads the timelines of all processes and, in tests, the answers
that callers received and the requests that backend servers received. All
fault tests share these checks, so that no test defines its own variant of an
invariant.
"""
