"""Slice of the library: presets."""
