"""Fixtures of several test modules."""

import logging

import pytest
import structlog


@pytest.fixture
def quiet_logs():
    """Keep tens of thousands of log lines out of the report of a failure."""
    before = structlog.get_config()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    yield
    structlog.configure(**before)
