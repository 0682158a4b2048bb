import json
from pathlib import Path

import pytest

import redwingplank.config as config
from redwingplank.config import (
    DeadlineClass,
    PlacementPolicyName,
    Service,
    WorkloadKind,
    make_schema,
    parse_declarations,
    parse_documents,
    read_declaration_files,
)
from redwingplank.config.resolve import find_effective_service
from redwingplank.core import FindingsError, make_resources

EXAMPLES = Path(config.__file__).parents[2] / "examples"

VALID_TEXT = """
schema_version: 1
templates:
  base: {priority: 100, resources: {millicores: 500, memory_mib: 64}}
  child:
    extends: base
    kind: batch
    resources: {memory_mib: 128}
organisations:
  org:
    services:
      work:
        template: child
        resources: {accelerators: {gpu: 1}}
"""


def find_service(declarations, organisation, name) -> Service:
    service = declarations.find_service(organisation, name)
    assert service is not None
    return service


def findings_of(**files):
    with pytest.raises(FindingsError) as caught:
        parse_declarations({f"{name}.yaml": text for name, text in files.items()})
    return [str(finding) for finding in caught.value.findings]


def organisation(service: str, header: str = "") -> str:
    return (
        f"schema_version: 1\norganisations:\n  o:\n    {header}\n    services:\n      s: {service}"
    )


class TestExamples:
    def test_bureau_and_cooperative_declare_their_services(self):
        bureau = parse_declarations(read_declaration_files([str(EXAMPLES / "bureau")]))
        assert len(bureau.organisations_by_name) == 2
        for name in bureau.organisations_by_name:
            assert find_service(bureau, name, "proof").upstream_service == "notahane"
            assert find_service(bureau, name, "proof").deadline_class is DeadlineClass.URGENT
            assert find_service(bureau, name, "part-extraction").kind is WorkloadKind.BATCH
            assert find_service(bureau, name, "watcher").count in (2, 3)
            assert find_service(bureau, name, "premiere-set").kind is WorkloadKind.GANG
        cooperative = parse_declarations(read_declaration_files([str(EXAMPLES / "cooperative")]))
        for name in cooperative.organisations_by_name:
            quote = find_service(cooperative, name, "quick-quote")
            assert quote.is_hedged and quote.policy is PlacementPolicyName.WAITING
            assert not find_service(cooperative, name, "order").is_idempotent


class TestInheritance:
    def test_nearest_declaration_wins_and_resources_merge_by_dimension(self):
        service = find_service(parse_declarations({"a.yaml": VALID_TEXT}), "org", "work")
        assert service.priority == 100
        assert service.resources == make_resources(500, 128, {"gpu": 1})
        assert service.start_within_s == 120.0

    def test_effective_values_name_their_origin_and_place(self):
        documents = parse_documents({"a.yaml": VALID_TEXT})
        values = find_effective_service(documents, documents["organisation/org"], "work")
        assert values["priority"].origin == "template base"
        assert values["resources.memory_mib"].origin == "template child"
        assert values["resources.accelerators"].origin == "service"
        assert values["start_within_s"].origin == "default of deadline_class standard"
        assert values["count"].origin == "default"
        assert str(values["resources.accelerators"].place).startswith("a.yaml:14:21 ")

    def test_start_within_follows_the_deadline_class(self):
        text = organisation("{template: t, deadline_class: urgent}")
        text += "\ntemplates: {t: {kind: batch, resources: {millicores: 1}}}"
        assert find_service(parse_declarations({"a.yaml": text}), "o", "s").start_within_s == 6.9


class TestFindings:
    def test_all_faults_of_all_files_are_reported_together_with_their_places(self):
        found = findings_of(
            a="schema_version: 2\ntemplates:\n  A: {prioritty: 5}\n  b: {priority: x}\n  b: {}",
            b="schema_version: 1\norganisations:\n  o: {share: 0, services: {x: {}}}",
            c="a: [",
            d="",
            e="schema_version: 1\ntemplates:\n  c: {extends: d}",
        )
        begins = [finding.split(" ")[0] for finding in found]
        expected = ["a.yaml:1:1", "a.yaml:3:3", "a.yaml:3:7", "a.yaml:4:7", "a.yaml:5:3"]
        expected += ["b.yaml:3:7", "b.yaml:3:28", "c.yaml:1:5:", "d.yaml:1:1:", "e.yaml:3:7"]
        assert begins == expected
        assert any("did you mean priority?" in finding for finding in found)

    @pytest.mark.parametrize(
        ("service", "template", "problem"),
        [
            ("{template: t}", "{kind: request}", "no upstream_service"),
            ("{template: t}", "{kind: batch}", "no resources"),
            ("{template: t}", "{priority: 1}", "gives no kind"),
            ("{template: u}", "{priority: 1}", "template 'u' is not declared"),
            ("{template: t}", "{kind: batch, extends: t}", "extends itself"),
            (
                "{template: t, is_hedged: true, is_idempotent: false}",
                "{kind: request, upstream_service: q}",
                "is not idempotent",
            ),
            (
                "{template: t, count: 2}",
                "{kind: batch, resources: {millicores: 1}}",
                "count applies to kind service",
            ),
            (
                "{template: t}",
                "{kind: batch, resources: {memory_mib: 99}}",
                "more than the organisation's quota in memory_mib",
            ),
        ],
    )
    def test_contradictions_between_values(self, service, template, problem):
        header = "quota: {millicores: 10, memory_mib: 10}"
        text = organisation(service, header) + f"\ntemplates: {{t: {template}}}"
        found = findings_of(a=text)
        assert any(problem in finding for finding in found), found

    def test_150_organisations_with_errors_in_many_files(self):
        files = {
            "t": "schema_version: 1\ntemplates: {t: {kind: batch, resources: {millicores: 1}}}"
        }
        for index in range(150):
            share = 0 if index % 3 == 0 else 1
            template = "gone" if index % 5 == 1 else "t"
            files[f"f{index:03}"] = (
                f"schema_version: 1\norganisations:\n  o{index}:\n    share: {share}\n"
                f"    services: {{s: {{template: {template}}}}}\n"
            )
        found = findings_of(**files)
        wrong_shares = {f"f{index:03}.yaml:4:5" for index in range(0, 150, 3)}
        wrong_templates = {f"f{index:03}.yaml:5:20" for index in range(150) if index % 5 == 1}
        assert {finding.split(" ")[0] for finding in found} == wrong_shares | wrong_templates

    def test_a_faulty_template_is_the_only_finding_about_it(self):
        text = organisation("{template: t}") + "\ntemplates: {t: {kind: bath}, u: {extends: t}}"
        assert [finding.split(" ")[0] for finding in findings_of(a=text)] == ["a.yaml:7:17"]

    def test_unknown_templates_of_a_faulty_entity_are_found_too(self):
        text = """schema_version: 1
templates:
  thing: {extends: nowhere, kind: batch, priority: -1}
organisations:
  one: {share: -1, services: {x: {template: nope}, y: {template: thing}}}
"""
        with pytest.raises(FindingsError) as caught:
            parse_declarations({"a.yaml": text})
        lines = [finding.place.line for finding in caught.value.findings]
        assert lines == [3, 3, 5, 5]
        assert "'nope'" in str(caught.value)
        assert "'nowhere'" in str(caught.value)

    def test_the_same_name_in_two_files(self):
        text = "schema_version: 1\ntemplates:\n  t: {priority: 1}"
        assert "first at a.yaml:3:3" in findings_of(a=text, b=text)[0]

    def test_paths_that_do_not_exist(self, tmp_path):
        with pytest.raises(FindingsError) as caught:
            read_declaration_files([str(tmp_path / "x"), str(tmp_path)])
        assert len(caught.value.findings) == 2


class TestSchema:
    def test_the_published_schema_is_the_one_in_use(self):
        published = Path(config.__file__).with_name("schema.json").read_text(encoding="utf-8")
        assert json.loads(published) == make_schema()

    def test_every_parameter_reaches_the_model(self):
        fields = set(config.Service.__dataclass_fields__) - {"name", "template"}
        assert {name.split(".")[0] for name in config.PARAMETERS_BY_NAME} == fields
