"""Client of the platform's VM list service."""
