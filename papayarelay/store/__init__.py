"""Client of the platform's table service."""
