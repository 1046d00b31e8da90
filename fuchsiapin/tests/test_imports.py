"""The import graph has no cycles and respects the layers of the package."""

import ast
import unittest
from pathlib import Path

import fuchsiapin

PACKAGE = Path(fuchsiapin.__file__).parent


def imports_of(path: Path, modules: set[str]) -> set[str]:
    """Return the package modules that a file imports, at any scope."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            names = {f"{node.module}.{alias.name}" for alias in node.names}
            found |= ({node.module} | names) & modules
    return found - {"fuchsiapin"}


def import_graph() -> dict[str, set[str]]:
    """Return the imported modules of each module."""
    paths = {
        ".".join(["fuchsiapin", *path.relative_to(PACKAGE).with_suffix("").parts]): path
        for path in PACKAGE.rglob("*.py")
        if "tests" not in path.parts
    }
    paths = {name.removesuffix(".__init__"): path for name, path in paths.items()}
    return {name: imports_of(path, set(paths)) for name, path in paths.items()}


def modules_of_cycles(edges: dict[str, set[str]]) -> list[str]:
    """Return the modules that are in an import cycle or import one, sorted."""
    left = dict(edges)
    while True:
        leaves = [name for name, targets in left.items() if not targets & left.keys()]
        if not leaves:
            return sorted(left)
        for name in leaves:
            del left[name]


REPORTING_MODULES = {"fuchsiapin.flowsnapshot"}
"""Shared modules for operators that may import a protocol, to read its records."""


class ImportTest(unittest.TestCase):
    """The import graph, including imports for type annotations."""

    def test_no_cycle(self) -> None:
        self.assertEqual(modules_of_cycles(import_graph()), [])

    def test_cycle_is_found(self) -> None:
        edges = {"a": {"b"}, "b": {"c"}, "c": {"a"}, "d": {"a"}, "e": set()}
        self.assertEqual(modules_of_cycles(edges), ["a", "b", "c", "d"])

    def test_flows_import_neither_coap_nor_most_shared_modules(self) -> None:
        # The processes that carry packet flows don't depend on CoAP.
        for name, targets in import_graph().items():
            if name.startswith("fuchsiapin.flows."):
                shared = {t for t in targets if t.split(".")[1] != "flows"}
                self.assertLessEqual(
                    {t.split(".")[1] for t in shared},
                    {
                        "exceptions",
                        "fields",
                        "jsonpages",
                        "lightclasses",
                        "ranking",
                        "registry",
                        "replicas",
                        "timers",
                    },
                    name,
                )

    def test_shared_modules_do_not_import_protocols_or_daemons(self) -> None:
        for name, targets in import_graph().items():
            if name.count(".") == 1 and name not in REPORTING_MODULES:
                parts = {target.split(".")[1] for target in targets}
                self.assertFalse(parts & {"coap", "flows", "daemons"}, name)

    def test_coap_does_not_import_flows_or_daemons(self) -> None:
        for name, targets in import_graph().items():
            if name.startswith("fuchsiapin.coap."):
                parts = {target.split(".")[1] for target in targets}
                self.assertFalse(parts & {"flows", "daemons"}, name)


if __name__ == "__main__":
    unittest.main()
