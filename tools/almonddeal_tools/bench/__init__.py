"""Benchmarks, which print figures as JSON lines, some with a baseline of the run."""
