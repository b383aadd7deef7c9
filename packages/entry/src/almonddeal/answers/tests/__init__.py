"""Tests of the ownership and replication of answers."""
