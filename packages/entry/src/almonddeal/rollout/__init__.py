"""Rollouts: bring the versions and roles of targets to those of the document."""
