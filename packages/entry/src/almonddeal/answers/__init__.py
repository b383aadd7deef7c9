"""Answers: owned by one entry instance, held by several, whole for the caller."""
