"""The processes of entries and agents on the users' platform.

The modules connect the cores, which decide without I/O
(:mod:`briarford.requests` for entries, :mod:`briarford.runs` for agents), to
sockets, to the key-value service and to the event loop.

A process has one of the two roles and imports the modules of that role only,
so that it serves again within half a second of a restart.
"""
