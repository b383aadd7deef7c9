"""Tests of the simulation, and of decisions under named loads."""
