"""Targets as they announce themselves, without an agent."""
