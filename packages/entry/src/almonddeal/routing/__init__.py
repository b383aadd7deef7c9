"""Where requests go by the published configuration."""
