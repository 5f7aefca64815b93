"""Fixtures of several test modules."""

import logging

import hypothesis
import pytest
import structlog

# The default limit of 200 ms for one example fails tests on a busy machine.
hypothesis.settings.register_profile("without-deadline", deadline=None)
hypothesis.settings.load_profile("without-deadline")


@pytest.fixture
def quiet_logs():
    """Keep tens of thousands of log lines out of the report of a failure."""
    before = structlog.get_config()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    yield
    structlog.configure(**before)
