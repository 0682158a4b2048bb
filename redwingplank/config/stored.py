"""Storage format of declarations in the key-value store: keys, values and their encoding.

Notes
-----
``config/live/head`` has the revision in force, ``config/live/KIND/NAME`` one document each and
``config/history/REVISION`` the contents that a revision replaced. Every change is one transaction
that compares the head's store revision and writes the head, the changed documents and one history
record.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar

import msgspec
import xxhash

from redwingplank.config.documents import Document, DocumentKind
from redwingplank.config.model import Declarations
from redwingplank.config.resolve import resolve_declarations
from redwingplank.config.schema import SCHEMA_VERSION
from redwingplank.core import RedwingError, UndecodableError, decode_json
from redwingplank.platform import KeyValue

__all__ = [
    "HEAD_KEY",
    "HISTORY_PREFIX",
    "LIVE_PREFIX",
    "NO_LIVE_SET",
    "Head",
    "HistoryRecord",
    "LiveSet",
    "StoredDocument",
    "StoredFormatError",
    "decode_declarations",
    "decode_history",
    "decode_live_set",
    "digest_revisions",
    "encode",
    "encode_declarations",
    "history_key",
    "live_key",
    "resolve_live_set",
    "to_document",
]

LIVE_PREFIX = "config/live/"
HEAD_KEY = "config/live/head"
HISTORY_PREFIX = "config/history/"
REVISION_DIGITS = 12

Content = dict[str, Any]
Stored = TypeVar("Stored", bound=msgspec.Struct)


class StoredFormatError(RedwingError):
    """A value in the store is not in the format of this version."""


class Head(msgspec.Struct, frozen=True):
    """The head record, which describes the revision in force.

    Parameters
    ----------
    revision : int
        Revision in force; grows by one with each accepted change, 0 before the first.
    nonce : str
        Nonce of the apply that made the revision.
    digest : int
        Digest of the keys and revisions of all documents, see `digest_revisions`.
    author : str
        Author of the apply.
    applied_at_unix_s : float
        Unix time of the apply by the author's clock, in seconds.
    schema_version : int
        Schema version of the documents.
    """

    revision: int = 0
    nonce: str = ""
    digest: int = 0
    author: str = ""
    applied_at_unix_s: float = 0.0
    schema_version: int = SCHEMA_VERSION


class StoredDocument(msgspec.Struct, frozen=True):
    """A document with the revision and the author of its last change."""

    revision: int
    author: str
    content: Content


class HistoryRecord(msgspec.Struct, frozen=True):
    """The contents that one revision replaced.

    Parameters
    ----------
    revision, nonce, author, applied_at_unix_s
        As in the head.
    note : str
        Reason of the change, such as ``"rollback to 12"``.
    before : dict of str to dict or None
        Earlier content of each changed document; None if the document did not exist.
    """

    revision: int
    nonce: str
    author: str
    applied_at_unix_s: float
    note: str
    before: dict[str, Content | None]


@dataclass(frozen=True, slots=True)
class LiveSet:
    """All documents in force, with the store revisions at which they were read.

    Parameters
    ----------
    head : Head
        Head record of the revision in force; revision 0 if nothing has been applied.
    stored_by_key : mapping of str to StoredDocument
        Stored documents by document key.
    head_mod_revision : int
        Store revision of the head's last change, which the next transaction compares; 0 if there
        is no head.
    store_revision : int
        Revision of the store at the read, after which a watch starts.
    """

    head: Head = field(default_factory=Head)
    stored_by_key: Mapping[str, StoredDocument] = field(default_factory=dict)
    head_mod_revision: int = 0
    store_revision: int = 0

    @property
    def contents_by_key(self) -> dict[str, Content]:
        """Contents of the documents by document key."""
        return {key: stored.content for key, stored in self.stored_by_key.items()}


NO_LIVE_SET = LiveSet()


def live_key(document_key: str) -> str:
    """Return the key of a document in the store."""
    return LIVE_PREFIX + document_key


def history_key(revision: int) -> str:
    """Return the key of a history record in the store; keys sort by revision."""
    return f"{HISTORY_PREFIX}{revision:0{REVISION_DIGITS}d}"


def encode(value: msgspec.Struct) -> bytes:
    """Return the stored form of a head, a document or a history record."""
    return msgspec.json.encode(value, order="sorted")


def decode_live_set(entries: Iterable[KeyValue], store_revision: int = 0) -> LiveSet:
    """Decode all entries below `LIVE_PREFIX`.

    Raises
    ------
    StoredFormatError
        If a value is not in the format of this version.
    """
    head, head_mod_revision = Head(), 0
    stored_by_key: dict[str, StoredDocument] = {}
    for entry in entries:
        if entry.key == HEAD_KEY:
            head, head_mod_revision = decode_head(entry.value), entry.mod_revision
        else:
            key = entry.key.removeprefix(LIVE_PREFIX)
            stored_by_key[key] = decode_document(entry.key, entry.value)
    return LiveSet(head, stored_by_key, head_mod_revision, store_revision)


def decode_head(value: bytes) -> Head:
    """Decode the head and check its schema version."""
    head = _decode(HEAD_KEY, value, Head)
    if head.schema_version != SCHEMA_VERSION:
        raise StoredFormatError(
            f"{HEAD_KEY} has schema version {head.schema_version}, this program reads "
            f"{SCHEMA_VERSION}: replace the program"
        )
    return head


def decode_document(key: str, value: bytes) -> StoredDocument:
    """Decode one document."""
    return _decode(key, value, StoredDocument)


def decode_history(entries: Iterable[KeyValue]) -> tuple[HistoryRecord, ...]:
    """Decode history records in the order of their revisions."""
    return tuple(_decode(entry.key, entry.value, HistoryRecord) for entry in entries)


def digest_revisions(revisions_by_key: Mapping[str, int]) -> int:
    """Return a digest of the keys and revisions of documents; equal sets have equal digests."""
    lines = "\n".join(f"{key} {revision}" for key, revision in sorted(revisions_by_key.items()))
    return xxhash.xxh64_intdigest(lines.encode())


def to_document(key: str, content: Mapping[str, Any]) -> Document:
    """Return the document with a key and content."""
    kind, _, name = key.partition("/")
    return Document(DocumentKind(kind), name, content)


def resolve_live_set(live: LiveSet) -> Declarations:
    """Return the effective declarations of the documents in force."""
    documents = {
        key: to_document(key, stored.content) for key, stored in live.stored_by_key.items()
    }
    return resolve_declarations(documents, live.head.revision)


def encode_declarations(documents: Mapping[str, Document], revision: int = 1) -> dict[str, bytes]:
    """Return the keys and values of a store in which `documents` are in force.

    Parameters
    ----------
    documents : mapping of str to Document
        Documents by document key, from `parse_documents`.
    revision : int
        Revision of the head and of every document.

    Returns
    -------
    dict of str to bytes
        Values by key, for tests and for filling an empty store; operators use ``apply``.
    """
    values = {
        live_key(key): encode(StoredDocument(revision, "", dict(document.content)))
        for key, document in documents.items()
    }
    digest = digest_revisions(dict.fromkeys(documents, revision))
    values[HEAD_KEY] = encode(Head(revision=revision, digest=digest))
    return values


def decode_declarations(values: Mapping[str, bytes]) -> Declarations:
    """Return the effective declarations that a store with these keys and values has in force."""
    entries = [KeyValue(key, value, 0, 0) for key, value in values.items()]
    return resolve_live_set(decode_live_set(entries))


def _decode(key: str, value: bytes, kind: type[Stored]) -> Stored:
    try:
        return decode_json(value, kind)
    except UndecodableError as error:
        raise StoredFormatError(f"{key} is not readable: {error}; roll back or apply it") from error
