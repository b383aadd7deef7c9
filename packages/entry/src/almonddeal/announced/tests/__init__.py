"""Tests of the registration of announced targets."""
