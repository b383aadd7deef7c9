"""The published configuration: agreed on, distributed and followed."""
