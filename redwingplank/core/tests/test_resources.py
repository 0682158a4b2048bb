import pytest

from redwingplank.core import InvalidValueError, make_resources, sum_resources


class TestResources:
    def test_names_each_dimension_that_is_too_small(self):
        need = make_resources(4000, 1024, {"gpu": 2})
        capacity = make_resources(2000, 2048, {"gpu": 1})
        assert need.exceeded_dimensions(capacity) == ("millicores", "accelerators.gpu")

    def test_subtraction_gives_back_what_addition_took(self):
        first = make_resources(10, 20, {"gpu": 1})
        second = make_resources(1, 2, {"fpga": 3})
        assert (first + second) - second == first
        assert sum_resources([first, second]) == first + second

    def test_refuses_negative_amounts(self):
        with pytest.raises(InvalidValueError, match="memory_mib is -1"):
            make_resources(0, -1)
