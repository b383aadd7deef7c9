"""Tests of the target directory and of the selection policies."""
