"""Tests of the memory and descriptors that a process reports."""

import builtins
import os

from cassiamount.process_usage import process_usage


def test_usage_follows_open_descriptors():
    before = process_usage()
    files = [os.open(os.devnull, os.O_RDONLY) for _ in range(20)]
    after = process_usage()
    for file in files:
        os.close(file)
    assert after["descriptors"] - before["descriptors"] == 20
    assert 0 < after["memory_mb"] <= after["memory_peak_mb"] + 1


def test_a_process_without_descriptors_still_reports(monkeypatch):
    def refuse(*args, **kwargs):
        raise OSError(24, "Too many open files")

    monkeypatch.setattr(builtins, "open", refuse)
    assert process_usage()["memory_peak_mb"] > 0
