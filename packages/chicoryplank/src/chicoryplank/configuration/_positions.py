"""Positions of values in JSON with comments, which the parser does not tell."""

import dataclasses
import re

import pyjson5

from chicoryplank.configuration._validators import join_path

_TOKEN = re.compile(
    r"""(?P<skipped>\s+|//[^\n]*|/\*.*?\*/)
    |(?P<string>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')
    |(?P<mark>[{}\[\]:,])
    |(?P<word>[^\s{}\[\]:,"'/]+)""",
    re.VERBOSE | re.DOTALL,
)


@dataclasses.dataclass(slots=True)
class _Container:
    """Object or list that contains the current token.

    Attributes:
        path: Its path.
        is_list: Whether it is a list.
        index: Number of members before the current one.
        key_path: Path of the current member of an object; None before its name.
        names: Names seen so far.
    """

    path: str
    is_list: bool
    index: int = 0
    key_path: str | None = None
    names: set[str] = dataclasses.field(default_factory=set)

    def get_value_path(self) -> str:
        """Returns the path of the value that begins at the current token."""
        if self.is_list:
            return f"{self.path}[{self.index}]"
        return self.key_path or self.path


class PositionIndex:
    """Lines and columns of the values of a valid text, by path.

    Args:
        text: Valid JSON with comments.

    Attributes:
        repeated: Paths of names that occur twice in one object.

    Example:
        >>> PositionIndex('{limits: {max: 5}}').find("limits.max")
        (1, 11)
    """

    def __init__(self, text: str) -> None:
        self._text = text
        self._offsets: dict[str, int] = {}
        self.repeated: list[str] = []
        self._scan()

    def _scan(self) -> None:
        stack: list[_Container] = []
        for match in _TOKEN.finditer(self._text):
            mark = match["mark"]
            top = stack[-1] if stack else _Container("", is_list=False)
            if match["skipped"] is not None or mark == ":":
                continue
            if mark in ("}", "]"):
                if stack:
                    stack.pop()
            elif mark == ",":
                top.index += 1
                top.key_path = None
            elif (
                mark is None and stack and not top.is_list and not top.key_path
            ):
                self._add_name(top, match)
            else:
                path = top.get_value_path()
                self._offsets.setdefault(path, match.start())
                if mark is not None:
                    stack.append(_Container(path, is_list=mark == "["))

    def _add_name(self, container: _Container, match: re.Match[str]) -> None:
        name = match["word"] or _decode_string(match["string"])
        container.key_path = join_path(container.path, name)
        if name in container.names:
            self.repeated.append(container.key_path)
        container.names.add(name)
        # Of a repeated name, the last value counts.
        self._offsets[container.key_path] = match.start()

    def find(self, path: str) -> tuple[int, int]:
        """Returns line and column of a value, or of the nearest one around it.

        Both count from 1.
        """
        path = path.removesuffix(" (name)")
        while path and path not in self._offsets:
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return get_line_and_column(self._text, self._offsets.get(path, 0))


def _decode_string(token: str) -> str:
    try:
        return str(pyjson5.decode(token))
    except pyjson5.Json5Exception:
        return token


def get_line_and_column(text: str, offset: int) -> tuple[int, int]:
    """Returns line and column of an offset; both count from 1."""
    line_start = text.rfind("\n", 0, offset) + 1
    return text.count("\n", 0, offset) + 1, offset - line_start + 1
