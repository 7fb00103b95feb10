"""Messages between the daemons."""
