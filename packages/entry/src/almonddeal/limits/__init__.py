"""Limits of customers and the fair queue of what waits."""
