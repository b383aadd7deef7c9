"""Routing of requests by the published configuration."""
