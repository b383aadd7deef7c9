"""Tests of the settings and composition of the entry instance."""
