"""Tests of limits and fair queueing."""
