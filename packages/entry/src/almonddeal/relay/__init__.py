"""Relay of caller requests to announced targets."""
