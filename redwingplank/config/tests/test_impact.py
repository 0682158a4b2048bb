import pytest

from redwingplank.config import PARAMETERS_BY_NAME, parse_declarations
from redwingplank.config.impact import find_impacts

BASE = """
schema_version: 1
templates:
  t: {kind: service, resources: {millicores: 500, memory_mib: 64}}
organisations:
  o: {share: 10, services: {s: {template: t}}}
  p: {services: {s: {template: t}}}
"""

CHANGED_VALUES = {
    "kind": "batch",
    "upstream_service": "q",
    "priority": 7,
    "deadline_class": "bulk",
    "start_within_s": 3,
    "request_timeout_s": 4,
    "resources.millicores": 501,
    "resources.memory_mib": 65,
    "resources.accelerators": "{gpu: 1}",
    "run_time_s": 9,
    "count": 3,
    "spread": "rack",
    "policy": "waiting",
    "is_idempotent": "false",
    "max_attempts": 9,
    "is_preemptible": "false",
    "is_checkpointable": "true",
    "is_hedged": "true",
    "is_volatile_allowed": "true",
}


def impacts_of(text):
    before = parse_declarations({"a": BASE})
    return find_impacts(before, parse_declarations({"a": text}))


class TestImpacts:
    @pytest.mark.parametrize("parameter", PARAMETERS_BY_NAME)
    def test_each_parameter_names_when_it_takes_effect(self, parameter):
        value = CHANGED_VALUES[parameter]
        kind = ""
        if parameter == "is_hedged":
            kind = ", kind: request, upstream_service: q"
        if parameter.startswith("resources."):
            declared = f"resources: {{{parameter.removeprefix('resources.')}: {value}}}"
        else:
            declared = f"{parameter}: {value}"
        found = impacts_of(
            BASE.replace("{s: {template: t}}}", f"{{s: {{template: t, {declared}{kind}}}}}}}", 1)
        )
        expected = parameter.partition(".")[0]
        by_parameter = {impact.parameter: impact for impact in found}
        assert by_parameter[expected].subject == "o/s"
        effects = {
            item.in_force for name, item in PARAMETERS_BY_NAME.items() if name.startswith(expected)
        }
        assert by_parameter[expected].effect in effects

    def test_a_templates_change_reaches_every_service_made_from_it(self):
        found = impacts_of(BASE.replace("kind: service", "kind: service, priority: 1"))
        assert [(impact.subject, impact.after) for impact in found] == [("o/s", "1"), ("p/s", "1")]

    def test_shares_quotas_and_removals(self):
        text = BASE.replace("share: 10", "share: 20, quota: {millicores: 9000, memory_mib: 900}")
        text = text.replace("  p: {services: {s: {template: t}}}\n", "")
        found = {(impact.subject, impact.parameter): impact for impact in impacts_of(text)}
        assert found["o", "share"].after == "20"
        assert found["o", "quota"].before == "none"
        assert "drained" in found["p/s", ""].effect
