"""Benchmarks of the request path, the decisions and the cost of the state."""
