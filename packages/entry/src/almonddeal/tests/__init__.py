"""Tests of the entry instance as a whole."""
