"""The slices of the library import each other in one direction only."""

from __future__ import annotations

import ast
import graphlib
from pathlib import Path

import briarford

ROOT = Path(briarford.__file__).parent


def read_imports(path: Path) -> set[str]:
    tree = ast.parse(path.read_text(encoding="utf-8"))
    names = {
        node.module
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom) and node.module
    }
    return {n.split(".")[1] for n in names if n.startswith("briarford.")}


def test_slices_do_not_import_each_other_in_a_circle():
    graph: dict[str, set[str]] = {}
    for path in ROOT.rglob("*.py"):
        slice_ = path.relative_to(ROOT).with_suffix("").parts[0]
        imported = read_imports(path) - {slice_}
        graph.setdefault(slice_, set()).update(imported)
    graph.pop("__init__")
    order = list(graphlib.TopologicalSorter(graph).static_order())
    assert set(order) == set(graph)
