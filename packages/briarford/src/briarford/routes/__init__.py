"""The routes that the operators' record in force defines."""

from briarford.routes.configuration import (
    Configuration,
    ConfigurationHolder,
    Route,
)

__all__ = ["Configuration", "ConfigurationHolder", "Route"]
