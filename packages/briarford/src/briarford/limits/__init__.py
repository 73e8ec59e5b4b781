"""Slice of the library: limits."""
