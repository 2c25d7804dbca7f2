"""Simulations that run randomized schedules of faults."""
