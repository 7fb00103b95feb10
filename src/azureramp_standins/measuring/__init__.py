"""The measuring tool: real policies and controllers in virtual time.

It offers a seeded load to a deployment in memory and tells what callers and
searchers saw. It is no cluster simulator: it has no model of networks or
hosts beyond the ports' faults.
"""
