"""The operators' tool, one module for each command."""
