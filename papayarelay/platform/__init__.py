"""Integration with the deployment platform: settings, table store and HTTP headers."""
