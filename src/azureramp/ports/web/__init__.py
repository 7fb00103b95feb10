"""HTTP client and server built on h11."""
