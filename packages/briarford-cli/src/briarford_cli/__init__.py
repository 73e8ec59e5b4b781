"""The ``briarford`` command line.

Callers submit jobs and look at entries with it; operators change presets,
drain workers and find out from logs what happened to a job. It also runs
stand-ins, the demonstration and the benchmarks.
"""
