"""Registration of targets that announce themselves, without an agent."""
