"""Slice of the library: homes."""
