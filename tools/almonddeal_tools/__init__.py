"""Test tools: stand-ins for engines and services, and load and fault drivers."""
