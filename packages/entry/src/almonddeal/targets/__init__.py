"""Targets: announcements, load, links to their agents, and selection policies."""
