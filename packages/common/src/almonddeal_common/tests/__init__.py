"""Tests of the shared code."""
