"""Routes, by which an entry assigns requests to services.

Operators define them in a record in the store. The entry reads the record
again and again and puts each newer version in force.
"""

from briarford.routes.configuration import (
    Configuration,
    ConfigurationHolder,
    Route,
)

__all__ = ["Configuration", "ConfigurationHolder", "Route"]
