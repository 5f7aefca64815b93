"""Tests of when settings are taken from a file that others write."""

import asyncio

import pytest
from result import Err, Ok

from cassiamount import settings_file
from cassiamount.settings_file import SettingsFile

WHOLE = "a: 1\nb: 2\n"


class Settings:
    """Takes the place of `VmSettings`."""

    def __init__(self, text):
        self.text = text

    def changes(self, other):
        return [] if self.text == other.text else ["text"]


def decode(text, name):
    return Ok(Settings(text)) if text.startswith("a: 1\n") else Err(["a is missing"])


class Writer:
    """A clock of which each reading is a step, at which the file may be written."""

    def __init__(self, path, steps):
        self.path = path
        self.steps = dict(steps)
        self.reading = 0

    def monotonic_ms(self):
        self.reading += 1
        if self.reading in self.steps:
            text = self.steps[self.reading]
            if text is None:
                self.path.unlink()
            else:
                self.path.write_bytes(text)
        return self.reading * 50.0


@pytest.fixture(autouse=True)
def no_waits(monkeypatch):
    sleep = asyncio.sleep
    monkeypatch.setattr(settings_file.time, "sleep", lambda s: None)
    monkeypatch.setattr(settings_file.asyncio, "sleep", lambda s: sleep(0))


@pytest.mark.parametrize(
    "steps",
    [
        {0: b"", 3: b"a: 1", 5: b"a: 1\n", 8: b"a: 1\nb:", 10: WHOLE.encode()},
        {0: b"a: 1\n", 2: b"a: 1\nb:", 5: WHOLE.encode()},
        {0: b"a: 1\nb: \xc3", 20: WHOLE.encode()},
        {0: None, 20: WHOLE.encode()},
        {0: WHOLE.encode(), 3: None, 5: WHOLE.encode()},
    ],
)
def test_only_a_whole_file_is_taken(tmp_path, steps):
    """Guards against limits that are missing from a file which is cut off but valid."""
    path = tmp_path / "settings"
    first = steps.pop(0)
    if first is not None:
        path.write_bytes(first)
    file = SettingsFile(str(path), decode, Writer(path, steps))
    assert file.wait_for_start(lambda: False).unwrap().text == WHOLE


@pytest.mark.parametrize(
    ("content", "is_stopping", "is_readable"),
    [(b"b: 2\n", False, True), (b"\xc3", False, False), (b"b: 2\n", True, True)],
)
def test_the_wait_is_bounded(tmp_path, content, is_stopping, is_readable):
    """Guards against a VM that neither starts nor ends."""
    path = tmp_path / "settings"
    path.write_bytes(content)
    file = SettingsFile(str(path), decode, Writer(path, {}))
    assert file.wait_for_start(lambda: is_stopping).is_err()
    assert file.is_readable == is_readable


async def test_a_reload_takes_only_whole_files(tmp_path):
    """Guards against a reload in the middle of a write, and against lost changes."""
    path = tmp_path / "settings"
    path.write_text(WHOLE)
    clock = Writer(path, {})
    file = SettingsFile(str(path), decode, clock)
    file.wait_for_start(lambda: False)
    steps = {5: b"", 8: b"a: 1\nb", 11: b"a: 1\nb: 3\n", 20: None, 40: b"a: 1\n"}
    clock.steps = {clock.reading + step: text for step, text in steps.items()}
    taken = []
    following = asyncio.create_task(file.follow(lambda new: taken.append(new.text)))
    while len(taken) < 2:
        await asyncio.sleep(0)
        assert not following.done()
    following.cancel()
    assert taken == ["a: 1\nb: 3\n", "a: 1\n"]


async def test_a_change_that_failed_to_be_applied_is_not_lost(tmp_path):
    """Guards against a VM that goes on with the settings from before."""
    path = tmp_path / "settings"
    path.write_text(WHOLE)
    clock = Writer(path, {})
    file = SettingsFile(str(path), decode, clock)
    file.wait_for_start(lambda: False)
    clock.steps = {clock.reading + 5: b"a: 1\nb: 3\n"}
    taken = []

    def apply(settings):
        taken.append(settings.text)
        if len(taken) == 1:
            raise TypeError("of another type")

    with pytest.raises(TypeError):
        await file.follow(apply)
    following = asyncio.create_task(file.follow(apply))
    for _ in range(1_000):
        await asyncio.sleep(0)
    following.cancel()
    assert taken == ["a: 1\nb: 3\n"] * 2
