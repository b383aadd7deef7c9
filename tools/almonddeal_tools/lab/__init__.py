"""Simulated engines and services, and experiments on where work goes."""
