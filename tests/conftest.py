"""What pytest is told before it loads any test."""

import pytest

# Failures of these modules' asserts show both sides, as those of the tests themselves do.
pytest.register_assert_rewrite("tests.stand_ins", "tests.quic_stand_ins")
