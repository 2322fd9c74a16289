"""Configuration of pytest that must precede the import of any test module."""

import pytest

# By default pytest rewrites only the asserts of test modules; without this, a failure in a helper would not show the
# values compared.
pytest.register_assert_rewrite("tests.stand_ins", "tests.quic_stand_ins")
