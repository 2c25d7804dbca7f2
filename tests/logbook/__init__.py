"""Tests of limpetyard.logbook."""
