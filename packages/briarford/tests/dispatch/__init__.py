"""Tests of the dispatch cores under faults, in virtual time."""
