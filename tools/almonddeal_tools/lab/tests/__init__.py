"""Tests of the simulated engine and of policies under named load patterns."""
