"""Reports to the VM that drives a roll-out."""
