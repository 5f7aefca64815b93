"""Stand-ins for the platform: log, weight store, VM list and backend servers."""
