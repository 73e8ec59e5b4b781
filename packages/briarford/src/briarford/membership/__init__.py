"""Slice of the library: membership."""
