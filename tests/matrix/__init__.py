"""Every fault at every step."""
