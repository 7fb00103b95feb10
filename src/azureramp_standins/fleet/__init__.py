"""Stand-ins that speak the users' platform's protocol, with faults."""
