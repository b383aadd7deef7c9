"""Tests of the roles."""
