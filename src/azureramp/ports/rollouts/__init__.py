"""Sending reports to the driver of a roll-out."""
