"""Tests of limpetyard.jobs."""
