"""Stand-ins for clients, servers and the platform, and the processes under review."""
