"""Tests that the documentation matches the tree."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
GENERATED = {"__init__", "peer_pb2", "peer_pb2_grpc"}
PAGES = sorted([*ROOT.glob("docs/*.md"), ROOT / "README.md"])
LINK = re.compile(r"\]\((?!https?:)([^)#]+)")
TEST_NAME = re.compile(r"`(?:tests/)?(test_\w+\.py)(?:::(\w+))?")


def test_every_module_is_listed():
    """Guards against a module that a newcomer cannot find."""
    modules = {path.stem for path in ROOT.glob("cassiamount/*.py")} - GENERATED
    listed = set(
        re.findall(r"^\| `(\w+)` \|", (ROOT / "docs/modules.md").read_text(), re.M)
    )
    assert listed == modules


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_lead_to_files(page):
    """Guards against links to pages that were moved or never written."""
    for target in LINK.findall(page.read_text()):
        assert (page.parent / target).exists(), target


def test_named_tests_exist():
    """Guards against proofs in docs/promises.md that no longer exist."""
    text = (ROOT / "docs/promises.md").read_text()
    found = TEST_NAME.findall(text)
    assert found
    for file_name, test in found:
        path = ROOT / "tests" / file_name
        assert path.exists(), file_name
        assert test in path.read_text(), test
