"""Replicas of answers, held in memory by entry instances and agents."""
