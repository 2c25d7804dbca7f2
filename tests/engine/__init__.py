"""Tests of limpetyard.engine."""
