"""Tests of the published configuration."""
