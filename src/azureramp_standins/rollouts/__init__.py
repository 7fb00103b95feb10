"""Simulated roll-outs of good and bad versions in virtual time."""
