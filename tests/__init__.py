"""Tests of limpetyard."""
