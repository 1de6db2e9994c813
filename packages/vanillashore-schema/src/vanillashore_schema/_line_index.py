"""Line numbers of the keys in a TOML text, found by parsing it with tree-sitter."""

from collections import defaultdict

import tree_sitter_toml
from tree_sitter import Language, Node, Parser

_LANGUAGE = Language(tree_sitter_toml.language())
_KEY_TYPES = frozenset({"bare_key", "dotted_key", "quoted_key"})


class LineIndex:
    r"""Maps dotted key paths to line numbers.

    Elements of arrays of tables carry their index::

        LineIndex('[[workspace]]\nname = "a"').line("workspace[0].name")  # 2
    """

    def __init__(self, text: str) -> None:
        self._lines: dict[str, int] = {}
        self._array_sizes: dict[str, int] = defaultdict(int)
        root = Parser(_LANGUAGE).parse(text.encode()).root_node
        for child in root.children:
            self._visit(child, "")

    def line(self, path: str) -> int:
        """Return the line of ``path`` or of its nearest known parent, or 0 if there is none."""
        while path:
            if path in self._lines:
                return self._lines[path]
            path = path.rpartition(".")[0]
        return 0

    def _visit(self, node: Node, prefix: str) -> None:
        if node.type == "pair":
            self._visit_pair(node, prefix)
        elif node.type == "table":
            self._visit_table(node, _join(prefix, self._resolve(_key_text(node))))
        elif node.type == "table_array_element":
            name = self._resolve(_key_text(node))
            index = self._array_sizes[name]
            self._array_sizes[name] += 1
            self._visit_table(node, f"{name}[{index}]")

    def _resolve(self, name: str) -> str:
        """Append the latest index to each array of tables in ``name``, except to its last part."""
        resolved = ""
        parts = name.split(".")
        for position, part in enumerate(parts):
            resolved = _join(resolved, part)
            is_last = position == len(parts) - 1
            if not is_last and resolved in self._array_sizes:
                resolved = f"{resolved}[{self._array_sizes[resolved] - 1}]"
        return resolved

    def _visit_table(self, node: Node, path: str) -> None:
        self._lines.setdefault(path, _line_number(node))
        for child in node.children:
            self._visit(child, path)

    def _visit_pair(self, node: Node, prefix: str) -> None:
        path = _join(prefix, _key_text(node))
        self._lines.setdefault(path, _line_number(node))
        self._visit_value(node.children[-1], path)

    def _visit_value(self, value: Node, path: str) -> None:
        if value.type == "inline_table":
            for child in value.children:
                self._visit(child, path)
        elif value.type == "array":
            items = [c for c in value.children if c.type not in ("[", "]", ",", "comment")]
            for index, item in enumerate(items):
                item_path = f"{path}[{index}]"
                self._lines.setdefault(item_path, _line_number(item))
                self._visit_value(item, item_path)


def _key_text(node: Node) -> str:
    for child in node.children:
        if child.type in _KEY_TYPES:
            return child.text.decode().strip('"')
    return ""


def _line_number(node: Node) -> int:
    return node.start_point[0] + 1


def _join(prefix: str, name: str) -> str:
    return f"{prefix}.{name}" if prefix else name
