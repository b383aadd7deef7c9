"""Tests of the control group."""
