"""Tests of the wire protocol."""
