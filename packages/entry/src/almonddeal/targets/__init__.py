"""Targets: who they are, how loaded they are, and which one takes a request."""
