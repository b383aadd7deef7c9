"""Copies of answers in progress, held in memory by entry instances and agents."""
