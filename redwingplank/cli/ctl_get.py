"""Output of `redwingctl get`: documents and effective values that are in force."""

import io
from typing import Any

from ruamel.yaml import YAML

from redwingplank.cli.ctl_output import Printer
from redwingplank.config.documents import DocumentKind
from redwingplank.config.resolve import find_effective_service
from redwingplank.config.schema import SCHEMA_VERSION
from redwingplank.config.stored import LiveSet, to_document
from redwingplank.core import InvalidValueError

__all__ = ["list_documents", "print_document", "show_effective"]


def list_documents(live: LiveSet, printer: Printer) -> int:
    """Print the key, the revision and the author of each document."""
    rows = [
        {"document": key, "revision": stored.revision, "author": stored.author}
        for key, stored in sorted(live.stored_by_key.items())
    ]
    revision = live.head.revision
    printer.show(f"revision {revision} is in force", {"revision": revision}, documents=rows)
    return 0


def print_document(live: LiveSet, key: str, printer: Printer) -> int:
    """Print one document as a declaration file that can be applied unchanged."""
    stored = live.stored_by_key.get(key)
    if stored is None:
        raise InvalidValueError(f"document {key!r} is not in force; get without a name lists all")
    kind, _, name = key.partition("/")
    file = {"schema_version": SCHEMA_VERSION, f"{kind}s": {name: stored.content}}
    printer.show_document(_to_yaml(file), {**file, "revision": stored.revision})
    return 0


def show_effective(live: LiveSet, name: str, printer: Printer) -> int:
    """Print every effective value of services and where each value is declared.

    Parameters
    ----------
    live : LiveSet
        Documents in force, as read from the store.
    name : str
        ``"ORGANISATION/SERVICE"``, ``"ORGANISATION"``, or an empty string for all services.
    printer : Printer
        Prints one row for each parameter of each selected service.
    """
    documents = {
        key: to_document(key, stored.content) for key, stored in live.stored_by_key.items()
    }
    organisation_name, _, service_name = name.removeprefix("organisation/").partition("/")
    rows: list[dict[str, Any]] = []
    for document in documents.values():
        is_selected = organisation_name in ("", document.name)
        if document.kind is not DocumentKind.ORGANISATION or not is_selected:
            continue
        for service in document.content.get("services", {}):
            if service_name in ("", service):
                values = find_effective_service(documents, document, service)
                rows.extend(
                    {
                        "service": f"{document.name}/{service}",
                        "parameter": parameter,
                        "value": value.value,
                        "from": value.origin,
                        "place": _describe_place(live, value.place),
                    }
                    for parameter, value in values.items()
                )
    if not rows:
        raise InvalidValueError(f"no service {name!r} is in force; get without a name lists all")
    printer.show(f"revision {live.head.revision}", {"revision": live.head.revision}, values=rows)
    return 0


def _describe_place(live: LiveSet, place: Any) -> str:
    if place is None:
        return ""
    key = place.source.removeprefix("store:")
    return f"{place.field} (revision {live.stored_by_key[key].revision})"


def _to_yaml(value: Any) -> str:
    stream = io.StringIO()
    yaml = YAML()
    yaml.default_flow_style = False
    yaml.dump(value, stream)
    return stream.getvalue().rstrip("\n")
