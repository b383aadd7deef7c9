"""Test tools: stand-ins for the platform, and drivers. No part of the product."""
