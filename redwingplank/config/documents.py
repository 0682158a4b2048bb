"""Documents: the written and stored form of one template or one organisation each."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from redwingplank.config.places import Path, find_place
from redwingplank.core import SourceLocation

__all__ = ["Document", "DocumentKind", "documents_by_key"]


class DocumentKind(StrEnum):
    """The kind of entity that a document declares."""

    TEMPLATE = "template"
    ORGANISATION = "organisation"


@dataclass(frozen=True, slots=True)
class Document:
    """One template or organisation as it is written in a file or stored.

    Parameters
    ----------
    kind : DocumentKind
        Whether it declares a template or an organisation.
    name : str
        Name of the template or organisation.
    content : mapping
        The declared values, already checked against the schema.
    places_by_path : mapping of tuple to Place
        Places of its values in the file, by path within `content`; ignored by comparisons.
    is_faulty : bool
        Whether it violates the schema; `content` then has only its references to templates.
    """

    kind: DocumentKind
    name: str
    content: Mapping[str, Any]
    places_by_path: Mapping[Path, SourceLocation] = field(
        default_factory=dict, compare=False, repr=False
    )
    is_faulty: bool = False

    @property
    def key(self) -> str:
        """``"KIND/NAME"``, unique in a set of documents and the last part of its store key."""
        return f"{self.kind}/{self.name}"

    def place(self, *path: str | int) -> SourceLocation:
        """Return the place of a value: in its file, or in the store if it is not from a file."""
        full_path = ".".join(str(part) for part in (f"{self.kind}s", self.name, *path))
        if not self.places_by_path:
            return SourceLocation(f"store:{self.key}", field=full_path)
        found = find_place(self.places_by_path, path)
        return SourceLocation(found.source, found.line, found.column, full_path)


def documents_by_key(documents: Iterable[Document]) -> dict[str, Document]:
    """Return a mapping of documents by key."""
    return {document.key: document for document in documents}
