"""Tests of limpetyard.node."""
