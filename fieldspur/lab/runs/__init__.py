"""Scenarios, the load, and runs on sockets or in simulated time."""
