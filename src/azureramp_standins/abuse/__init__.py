"""Clients that exhaust memory, connections or processor time of a VM."""
