"""Calls to plain services: at-most-once orders and retryable lookups."""
