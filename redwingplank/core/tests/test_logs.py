from redwingplank.core import format_event


class TestFormatEvent:
    def test_quotes_only_values_that_need_it(self):
        line = format_event("placed", {"vm": "vm-1", "why": 'a "b"\nc', "wait_ms": 0.25, "x": None})
        assert line == 'event=placed vm=vm-1 why="a \\"b\\"\\nc" wait_ms=0.25 x=none'

    def test_quotes_an_equals_sign_and_an_empty_value(self):
        assert format_event("e", {"a": "k=v", "b": ""}) == 'event=e a="k=v" b=""'
