"""The demo: a small fleet of separate processes, and requests through it."""
