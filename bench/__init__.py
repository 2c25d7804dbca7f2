"""Measurements of limpetyard, with bounds from the stated targets."""
