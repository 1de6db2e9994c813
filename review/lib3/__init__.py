"""Small stand-ins of the platform, replicas and clients, for the scripts of the review."""
