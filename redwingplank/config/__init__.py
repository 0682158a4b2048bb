"""Declarations of templates and organisations: parsing, checks, revisions and changes."""

from redwingplank.config.documents import Document, DocumentKind, documents_by_key
from redwingplank.config.effective import EffectiveValue
from redwingplank.config.model import (
    NO_DECLARATIONS,
    START_WITHIN_S,
    DeadlineClass,
    Declarations,
    Organisation,
    PlacementPolicyName,
    Service,
    Spread,
    WorkloadKind,
)
from redwingplank.config.parameters import PARAMETERS_BY_NAME, Parameter
from redwingplank.config.parse import (
    parse_declarations,
    parse_documents,
    read_declaration_files,
)
from redwingplank.config.resolve import find_effective_service, resolve_declarations
from redwingplank.config.schema import SCHEMA_VERSION, make_schema

__all__ = [
    "NO_DECLARATIONS",
    "PARAMETERS_BY_NAME",
    "SCHEMA_VERSION",
    "START_WITHIN_S",
    "DeadlineClass",
    "Declarations",
    "Document",
    "DocumentKind",
    "EffectiveValue",
    "Organisation",
    "Parameter",
    "PlacementPolicyName",
    "Service",
    "Spread",
    "WorkloadKind",
    "documents_by_key",
    "find_effective_service",
    "make_schema",
    "parse_declarations",
    "parse_documents",
    "read_declaration_files",
    "resolve_declarations",
]
