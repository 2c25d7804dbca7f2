"""Benchmarks of limpetyard, checked against its stated targets."""
