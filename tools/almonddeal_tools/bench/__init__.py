"""Benchmarks: figures as JSON lines, each beside a naive baseline of the same run."""
