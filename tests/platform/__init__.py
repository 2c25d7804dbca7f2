"""Tests of limpetyard.platform."""
