"""Fault tests of the dispatch cores in virtual time.

The cores run in simulated processes whose messages, clocks, crashes and pauses
a test controls. ``matrix`` injects each fault at each step of a job,
``checks`` holds what must be true after every case, and ``soak`` runs random
combinations of faults.
"""
