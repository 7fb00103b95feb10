"""HTTP on both sides, by h11."""
