"""The subpackages and top-level modules of briarford import without cycles."""

from __future__ import annotations

import ast
import graphlib
from pathlib import Path

import briarford

ROOT = Path(briarford.__file__).parent


def read_imports(path: Path) -> set[str]:
    """Return the subpackages and top-level modules that a file imports."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    names = {
        node.module
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom) and node.module
    }
    return {n.split(".")[1] for n in names if n.startswith("briarford.")}


def test_subpackages_have_no_import_cycle():
    graph: dict[str, set[str]] = {}
    for path in ROOT.rglob("*.py"):
        subpackage = path.relative_to(ROOT).with_suffix("").parts[0]
        imported = read_imports(path) - {subpackage}
        graph.setdefault(subpackage, set()).update(imported)
    graph.pop("__init__")
    order = list(graphlib.TopologicalSorter(graph).static_order())
    assert set(order) == set(graph)
