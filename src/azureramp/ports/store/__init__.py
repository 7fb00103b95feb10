"""The platform's key-value service."""
