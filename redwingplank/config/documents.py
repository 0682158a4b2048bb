"""Templates and organisations as they are written and stored: one document each."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from redwingplank.config.places import Path, find_place
from redwingplank.core import Place

__all__ = ["Document", "DocumentKind", "documents_by_key"]


class DocumentKind(StrEnum):
    """What a document declares."""

    TEMPLATE = "template"
    ORGANISATION = "organisation"


@dataclass(frozen=True, slots=True)
class Document:
    """One declared template or organisation, as written.

    Parameters
    ----------
    kind : DocumentKind
        What it declares.
    name : str
        Its name.
    content : mapping
        The declared values, already checked against the schema.
    places_by_path : mapping of tuple to Place
        Where its values stand, by path within `content`; not part of its identity.
    is_faulty : bool
        Whether it broke the schema; then its content is left out.
    """

    kind: DocumentKind
    name: str
    content: Mapping[str, Any]
    places_by_path: Mapping[Path, Place] = field(default_factory=dict, compare=False, repr=False)
    is_faulty: bool = False

    @property
    def key(self) -> str:
        """``"KIND/NAME"``: unique in a set of documents and the end of its key in the store."""
        return f"{self.kind}/{self.name}"

    def place(self, *path: str | int) -> Place:
        """Return where a value stands, or where the document does."""
        full_path = ".".join(str(part) for part in (f"{self.kind}s", self.name, *path))
        if not self.places_by_path:
            return Place(f"store:{self.key}", field=full_path)
        found = find_place(self.places_by_path, path)
        return Place(found.source, found.line, found.column, full_path)


def documents_by_key(documents: Iterable[Document]) -> dict[str, Document]:
    """Return documents by their key."""
    return {document.key: document for document in documents}
