"""The published configuration: its replication and distribution to entry instances."""
