"""Tests of limpetyard.store."""
