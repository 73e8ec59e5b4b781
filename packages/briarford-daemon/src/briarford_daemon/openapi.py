"""Builds the OpenAPI document of an entry.

The schemas come from the types with which requests are decoded and problems
encoded, so they cannot differ from what the entry accepts and sends.
"""

from __future__ import annotations

from typing import Any

import msgspec

from briarford_daemon.problems import Problem
from briarford_daemon.requests import JobBody, SingleBody

__all__ = ["openapi_document"]

VERSION = "3.1.0"
REF_TEMPLATE = "#/components/schemas/{name}"

_HEADERS = (
    ("Briarford-Team", "Team on whose quota the request runs.", "string"),
    ("Briarford-Deadline", "Unix seconds; no answer after it.", "number"),
    ("Briarford-Timeout", "Seconds, if no deadline is given.", "number"),
)


def openapi_document() -> dict[str, Any]:
    """Return the OpenAPI document, as values that JSON can encode."""
    schemas = (JobBody, SingleBody, Problem)
    _, components = msgspec.json.schema_components(
        schemas, ref_template=REF_TEMPLATE
    )
    return {
        "openapi": VERSION,
        "info": {"title": "briarford entry", "version": "1"},
        "paths": _paths(),
        "components": {"schemas": components},
    }


def _paths() -> dict[str, Any]:
    job = {"name": "id", "in": "path", "required": True, **_typed("string")}
    service = {**job, "name": "service"}
    headers = [_header(*h) for h in _HEADERS]
    prefer = _header("Prefer", "respond-async: do not wait.", "string")
    count = {"name": "count", "in": "query", **_typed("integer")}
    return {
        "/v1/jobs": {"post": _operation("Mint job ids.", [count], 201)},
        "/v1/jobs/{id}": {
            "put": _operation(
                "Submit a job, or join it; wait for its whole answer.",
                [job, *headers, prefer],
                200,
                "JobBody",
            ),
            "get": _operation("Read a job's answer.", [job], 200),
            "delete": _operation("Cancel a job.", [job], 202),
        },
        "/v1/services/{service}/requests": {
            "post": _operation(
                "Run a single request.", [service, *headers], 200, "SingleBody"
            )
        },
        "/v1/status": {"get": _operation("Show the entry.", [], 200)},
        "/v1/preset": {"get": _operation("Show the preset record.", [], 200)},
        "/healthz": {"get": _operation("The process runs.", [], 200)},
        "/readyz": {"get": _operation("It takes requests.", [], 200)},
        "/metrics": {"get": _operation("Metrics as text.", [], 200)},
    }


def _typed(kind: str) -> dict[str, Any]:
    return {"schema": {"type": kind}}


def _header(name: str, description: str, kind: str) -> dict[str, Any]:
    return {
        "name": name,
        "in": "header",
        "description": description,
        **_typed(kind),
    }


def _operation(
    summary: str,
    parameters: list[dict[str, Any]],
    status: int,
    body: str = "",
) -> dict[str, Any]:
    problem = {"schema": {"$ref": REF_TEMPLATE.format(name="Problem")}}
    operation: dict[str, Any] = {
        "summary": summary,
        "parameters": parameters,
        "responses": {
            str(status): {"description": "as asked"},
            "default": {
                "description": "a problem; did_run tells what is known",
                "content": {"application/problem+json": problem},
            },
        },
    }
    if body:
        schema = {"schema": {"$ref": REF_TEMPLATE.format(name=body)}}
        operation["requestBody"] = {"content": {"application/json": schema}}
    return operation
