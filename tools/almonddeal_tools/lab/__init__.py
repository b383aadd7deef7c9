"""Simulation of inference engines and of the relay's decisions, in virtual time."""
