"""Tests of the caller interface."""
