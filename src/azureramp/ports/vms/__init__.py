"""Calls to other VMs of the tier."""
