"""Stand-ins for the services around briarford, load tool, experiments."""
