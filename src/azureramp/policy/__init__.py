"""Decision logic: pure functions and small state machines without I/O."""
