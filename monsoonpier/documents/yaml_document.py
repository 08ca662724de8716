"""YAML documents with the position of each value, checked by a JSON schema."""

from dataclasses import dataclass, field
from functools import lru_cache
from importlib import resources
from typing import Any

from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError
from ruamel.yaml import YAML
from ruamel.yaml.error import MarkedYAMLError, YAMLError
from ruamel.yaml.nodes import MappingNode, Node, ScalarNode, SequenceNode

from monsoonpier.model.findings import Finding, Place

__all__ = ["YamlDocument", "read_document"]

MAX_DOCUMENT_BYTES = 1_048_576
MAX_DEPTH = 32
KeyPath = tuple[str | int, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class YamlDocument:
    """A document's content as plain values, and the place of each path in it."""

    file: str
    content: Any
    places_by_path: dict[KeyPath, Place] = field(default_factory=dict)

    def place(self, path: KeyPath) -> Place:
        """Return the place of a path, or of its nearest parent."""
        while path and path not in self.places_by_path:
            path = path[:-1]
        return self.places_by_path.get(path, Place(file=self.file))

    def check(self, schema: str) -> list[Finding]:
        """Return all violations of the schema file ``{schema}.schema.yaml``."""
        errors = _validator(schema).iter_errors(self.content)
        return [finding for error in errors for finding in self._findings(error)]

    def _findings(self, error: ValidationError) -> list[Finding]:
        path = tuple(error.absolute_path)
        hint = error.schema.get("description", "")
        match error.validator:
            case "additionalProperties" | "unevaluatedProperties":
                known = sorted(error.schema.get("properties", ()))
                return [
                    Finding(
                        place=self.place((*path, key)),
                        problem=f"unknown key {key!r}",
                        hint="known keys: " + ", ".join(known),
                    )
                    for key in error.instance
                    if key not in known
                ]
            case "required":
                missing = error.message.split("'")[1]
                return [
                    Finding(place=self.place(path), problem=f"{missing!r} is missing")
                ]
            case "type":
                found = type(error.instance).__name__
                problem = f"must be {error.validator_value}, not {found}"
            case "pattern":
                problem = f"{error.instance!r} is not valid here"
            case _:
                problem = error.message
        name = ".".join(map(str, path)) or "the document"
        return [
            Finding(place=self.place(path), problem=f"{name}: {problem}", hint=hint)
        ]


def read_document(text: str, *, file: str) -> tuple[YamlDocument, list[Finding]]:
    """Parse one YAML document; return findings instead of raising exceptions."""
    empty = YamlDocument(file=file, content={})
    place = Place(file=file)
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        return empty, [
            Finding(place=place, problem="the file is too large", hint="at most 1 MiB")
        ]
    try:
        node = YAML(typ="safe", pure=True).compose(text)
    except MarkedYAMLError as error:
        mark = error.problem_mark
        if mark is not None:
            place = Place(file=file, line=mark.line + 1, column=mark.column + 1)
        return empty, [Finding(place=place, problem=f"not YAML: {error.problem}")]
    except (YAMLError, RecursionError, ValueError) as error:
        problem = f"not YAML: {str(error).splitlines()[0]}"
        return empty, [Finding(place=place, problem=problem)]
    if node is None:
        return empty, [Finding(place=place, problem="the file is empty")]
    reader = _NodeReader(file)
    content = reader.read(node, ())
    document = YamlDocument(
        file=file, content=content, places_by_path=reader.places_by_path
    )
    return document, reader.findings


class _NodeReader:
    """Converts YAML nodes to plain values; records places and duplicate keys."""

    def __init__(self, file: str) -> None:
        self._file = file
        self._constructor = YAML(typ="safe", pure=True).constructor
        self.places_by_path: dict[KeyPath, Place] = {}
        self.findings: list[Finding] = []

    def read(self, node: Node, path: KeyPath) -> Any:
        self.places_by_path[path] = self._place(node)
        if len(path) > MAX_DEPTH:
            self._add_finding(node, "nested too deeply")
            return None
        match node:
            case MappingNode():
                return self._mapping(node, path)
            case SequenceNode():
                return [
                    self.read(child, (*path, number))
                    for number, child in enumerate(node.value)
                ]
            case ScalarNode():
                return self._scalar(node)
        return None

    def _mapping(self, node: MappingNode, path: KeyPath) -> dict:
        values: dict = {}
        for key_node, value_node in node.value:
            key = str(key_node.value) if isinstance(key_node, ScalarNode) else "?"
            if key in values:
                self._add_finding(key_node, f"duplicate key {key!r}")
                continue
            values[key] = self.read(value_node, (*path, key))
            # Findings point to the key rather than to its value.
            self.places_by_path[(*path, key)] = self._place(key_node)
        return values

    def _scalar(self, node: ScalarNode) -> Any:
        try:
            value = self._constructor.construct_object(node)
        except (YAMLError, ValueError) as error:
            self._add_finding(node, f"invalid value: {error}")
            return None
        # Values of other types, such as dates, are left as text.
        is_plain = value is None or isinstance(value, str | bool | int | float)
        return value if is_plain else node.value

    def _add_finding(self, node: Node, problem: str) -> None:
        self.findings.append(Finding(place=self._place(node), problem=problem))

    def _place(self, node: Node) -> Place:
        mark = node.start_mark
        return Place(file=self._file, line=mark.line + 1, column=mark.column + 1)


@lru_cache
def _validator(name: str) -> Draft202012Validator:
    text = resources.files(__package__).joinpath(f"{name}.schema.yaml").read_text()
    return Draft202012Validator(YAML(typ="safe", pure=True).load(text))
