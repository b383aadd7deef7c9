"""Rollouts: from the versions and roles that targets have to those of the document."""
