"""Resolves a set of documents into effective declarations and checks them as a whole."""

from collections.abc import Collection, Mapping
from typing import Any

from redwingplank.config.documents import Document, DocumentKind
from redwingplank.config.effective import (
    EffectiveValue,
    TemplateChain,
    find_chain,
    make_effective_values,
)
from redwingplank.config.model import (
    NO_DECLARATIONS,
    DeadlineClass,
    Declarations,
    Organisation,
    PlacementPolicyName,
    Service,
    Spread,
    WorkloadKind,
)
from redwingplank.core import Finding, Resources, SourceLocation, make_resources, raise_findings

__all__ = ["find_effective_service", "resolve_changed", "resolve_declarations"]

DEFAULT_SHARE = 100


def resolve_declarations(documents: Mapping[str, Document], revision: int = 0) -> Declarations:
    """Return the effective declarations of a whole set of documents.

    Parameters
    ----------
    documents : mapping of str to Document
        All templates and organisations by key.
    revision : int
        The revision that the result carries.

    Returns
    -------
    Declarations

    Raises
    ------
    FindingsError
        With every fault of the set.
    """
    return resolve_changed(NO_DECLARATIONS, documents, frozenset(documents), revision)


def resolve_changed(
    previous: Declarations,
    documents: Mapping[str, Document],
    changed_keys: Collection[str],
    revision: int,
) -> Declarations:
    """Return the effective declarations after a change, resolving only organisations it affects.

    Parameters
    ----------
    previous : Declarations
        Effective declarations before the change.
    documents : mapping of str to Document
        All templates and organisations by key, after the change.
    changed_keys : collection of str
        Keys of the documents that were added, changed or removed.
    revision : int
        The revision that the result carries.

    Returns
    -------
    Declarations
        Effective declarations; unaffected organisations are the same objects as before.

    Raises
    ------
    FindingsError
        With every fault of the templates and of the resolved organisations.
    """
    findings: list[Finding] = []
    _check_templates(documents, findings)
    touched_templates = _find_touched_templates(documents, changed_keys)
    organisations: dict[str, Organisation] = {}
    for key, document in documents.items():
        if document.kind is not DocumentKind.ORGANISATION:
            continue
        known = previous.organisations_by_name.get(document.name)
        is_touched = key in changed_keys or _uses_any(document, touched_templates)
        if known is None or is_touched:
            known = _resolve_organisation(document, documents, findings)
        organisations[document.name] = known
    raise_findings(findings)
    return Declarations(revision, organisations)


def find_effective_service(
    documents: Mapping[str, Document], organisation: Document, service: str
) -> dict[str, EffectiveValue]:
    """Return the parameters of one service of an organisation with their origins."""
    content = organisation.content["services"][service]
    used_at = organisation.place("services", service, "template")
    chain = find_chain(documents, content["template"], used_at)
    return make_effective_values(content, organisation, ("services", service), chain)


def _find_touched_templates(
    documents: Mapping[str, Document], changed_keys: Collection[str]
) -> set[str]:
    prefix = f"{DocumentKind.TEMPLATE}/"
    changed = {key.removeprefix(prefix) for key in changed_keys if key.startswith(prefix)}
    if not changed:
        return changed
    touched = set(changed)
    for document in documents.values():
        if document.kind is DocumentKind.TEMPLATE:
            chain = find_chain(documents, document.name, document.place())
            if any(template.name in changed for template in chain.templates):
                touched.add(document.name)
    return touched


def _uses_any(document: Document, templates: set[str]) -> bool:
    services = document.content.get("services", {}).values()
    return any(service["template"] in templates for service in services)


def _check_templates(documents: Mapping[str, Document], findings: list[Finding]) -> None:
    for document in documents.values():
        if document.kind is not DocumentKind.TEMPLATE:
            continue
        base = document.content.get("extends", "")
        chain = find_chain(documents, base, document.place("extends"))
        if chain.finding is not None and chain.finding.place == document.place("extends"):
            findings.append(chain.finding)


def _resolve_organisation(
    document: Document, documents: Mapping[str, Document], findings: list[Finding]
) -> Organisation:
    content = document.content
    quota = _read_resources(content["quota"]) if "quota" in content else None
    services: dict[str, Service] = {}
    for name, declared in content.get("services", {}).items():
        used_at = document.place("services", name, "template")
        chain = find_chain(documents, declared["template"], used_at)
        if chain.finding is not None and not chain.templates:
            findings.append(chain.finding)
            continue
        if document.is_faulty or any(template.is_faulty for template in chain.templates):
            continue
        service = _resolve_service(document, name, declared, chain, findings)
        if service is not None:
            services[name] = service
            _check_quota(document, service, quota, findings)
    share = content.get("share", DEFAULT_SHARE)
    return Organisation(document.name, share, quota, services)


def _resolve_service(
    document: Document,
    name: str,
    declared: Mapping[str, Any],
    chain: TemplateChain,
    findings: list[Finding],
) -> Service | None:
    path = ("services", name)
    values = make_effective_values(declared, document, path, chain)
    place = document.place(*path)
    if "kind" not in values:
        problem = f"template {declared['template']!r} gives no kind"
        findings.append(Finding(place, problem, "give kind: request, service, batch or gang"))
        return None
    _check_service(values, place, findings)
    return _make_service(name, declared["template"], values)


def _make_service(name: str, template: str, values: Mapping[str, EffectiveValue]) -> Service:
    plain = {key: value.value for key, value in values.items()}
    resources = make_resources(
        plain.pop("resources.millicores"),
        plain.pop("resources.memory_mib"),
        plain.pop("resources.accelerators"),
    )
    return Service(
        name=name,
        template=template,
        kind=WorkloadKind(plain.pop("kind")),
        deadline_class=DeadlineClass[plain.pop("deadline_class").upper()],
        spread=Spread(plain.pop("spread")),
        policy=PlacementPolicyName(plain.pop("policy")),
        resources=resources,
        **plain,
    )


def _check_service(
    values: Mapping[str, EffectiveValue], place: SourceLocation, findings: list[Finding]
) -> None:
    is_request = values["kind"].value == WorkloadKind.REQUEST
    if is_request and not values["upstream_service"].value:
        remedy = "give upstream_service, the service that upstreams declare"
        findings.append(Finding(place, "a request has no upstream_service", remedy))
    if not is_request and not _has_resources(values):
        remedy = "give resources.millicores, resources.memory_mib or resources.accelerators"
        findings.append(Finding(place, "tasks on workers have no resources", remedy))
    if values["is_hedged"].value and not is_request:
        where = values["is_hedged"].place or place
        findings.append(Finding(where, "is_hedged applies to requests", "remove it"))
    if values["is_hedged"].value and not values["is_idempotent"].value:
        where = values["is_hedged"].place or place
        problem = "is_hedged sends a request twice, but it is not idempotent"
        findings.append(Finding(where, problem, "set is_hedged: false"))
    if values["count"].place and values["kind"].value != WorkloadKind.SERVICE:
        problem = f"count applies to kind service, not {values['kind'].value}"
        findings.append(Finding(values["count"].place, problem, "remove it"))


def _has_resources(values: Mapping[str, EffectiveValue]) -> bool:
    return any(
        values[f"resources.{dimension}"].value
        for dimension in ("millicores", "memory_mib", "accelerators")
    )


def _check_quota(
    document: Document, service: Service, quota: Resources | None, findings: list[Finding]
) -> None:
    if quota is None or service.kind is WorkloadKind.REQUEST:
        return
    exceeded = service.resources.exceeded_dimensions(quota)
    if exceeded:
        problem = f"one task needs more than the organisation's quota in {', '.join(exceeded)}"
        place = document.place("services", service.name)
        findings.append(Finding(place, problem, "raise the quota or lower resources"))


def _read_resources(content: Mapping[str, Any]) -> Resources:
    return make_resources(
        content.get("millicores", 0), content.get("memory_mib", 0), content.get("accelerators")
    )
