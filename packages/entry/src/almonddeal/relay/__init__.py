"""Passing requests of callers to announced targets."""
