"""Stand-ins of clients, replicas and the platform's store, with the standard library only."""
