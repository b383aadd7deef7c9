"""Tests of answer replicas."""
