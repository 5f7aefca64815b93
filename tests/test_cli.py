"""Tests of the command line: output, errors and exit statuses."""

import io
import json

import pytest

from cassiamount import cli, cli_common
from cassiamount.admin_client import WithdrawnHere
from cassiamount.keys import hash_key
from cassiamount.status import UnreachableVm, VmStatus

from .documents import DOCUMENT, SETTINGS, with_value
from .fake_log import DOWN, RESPONSE_LOST, FakeLog

HASH = hash_key("ck-x")
STATUS = {
    "vm": "vm-1@f00",
    "zone": "zone-a",
    "state": "live",
    "log_reachable": True,
    "configuration_version": 7,
    "configuration_staleness_ms": 1200.0,
    "backends": [
        {
            "name": "engine-1",
            "state": "live",
            "report_age_ms": 40,
            "residents": [{"name": "loom", "state": "loading"}, 5],
        }
    ],
    "budgets": [{"team": "team-a", "owned": True, "level_tokens": 12.4}],
    "leases": [{"lease": "budget/0", "holder": "vm-1@f00", "fence": 3}],
    "unknown": 1,
    "uptime_ms": "long",
}


@pytest.fixture
def log(monkeypatch):
    fake = FakeLog()
    monkeypatch.setattr(cli_common, "open_log", lambda address: fake)
    monkeypatch.setenv("CASSIAMOUNT_LOG_ADDRESS", "127.0.0.1:9001")
    return fake


@pytest.fixture
def run(capsys, tmp_path):
    """Run a command; dict arguments are written to files first."""

    def run(*arguments):
        texts = []
        for number, argument in enumerate(arguments):
            if isinstance(argument, dict):
                path = tmp_path / f"file-{number}.json"
                path.write_text(json.dumps(argument, indent=1))
                argument = path
            texts.append(str(argument))
        with pytest.raises(SystemExit) as stopped:
            cli.main(texts)
        captured = capsys.readouterr()
        return stopped.value.code, captured.out, captured.err

    return run


@pytest.mark.parametrize(
    ("arguments", "status", "expected"),
    [
        (["check", DOCUMENT], 0, "no findings"),
        (["check", SETTINGS, "--kind", "settings"], 0, "no findings"),
        (["check", SETTINGS], 2, "unknown field 'vm_name'"),
        (
            ["check", with_value(DOCUMENT, "zones", value=[])],
            2,
            "unknown zone 'zone-a'",
        ),
        (["check", "no-such-file"], 1, "No such file"),
        (["publish", {}, "--base-version", "0"], 2, "field 'zones' is missing"),
        (["publish", DOCUMENT], 1, "--base-version"),
        (["key", "withdraw", "ck-secret"], 1, "give the key's hash"),
        (["key", "give", "nobody"], 1, "unknown team"),
        (["drain", "engine-9"], 1, "unknown backend"),
        (["nonsense"], 1, "nonsense"),
    ],
)
def test_status_and_message(log, run, arguments, status, expected):
    """Guards against a failure that a script takes for success."""
    code, out, err = run(*arguments)
    assert (code, expected in out + err) == (status, True), out + err


def test_findings_have_places_in_json_output(run):
    """Guards against programs that must parse messages."""
    code, out, _ = run("check", {"zone": [], **DOCUMENT}, "--json")
    assert code == 2
    (finding,) = json.loads(out)["error"]["findings"]
    assert finding["place"].endswith(":2:2")
    assert finding["message"] == "unknown field 'zone'; did you mean 'zones'?"


def test_publish_and_lost_race(log, run):
    """Guards against a lost race whose loser does not learn both versions."""
    other = with_value(DOCUMENT, "teams", 1, "burst_tokens", value=77)
    assert run("publish", DOCUMENT, "--base-version", "0")[0] == 0
    code, _, err = run("publish", other, "--base-version", "0")
    assert code == 2
    assert "based on version 0, but version 1 is in force" in err
    assert "~ teams[riggers].burst_tokens: 100 -> 77" in err
    code, out, _ = run("publish", other, "--base-version", "0", "--json")
    error = json.loads(out)["error"]
    assert (code, error["code"]) == (2, "lost_race")
    assert (error["base_version"], error["version_in_force"]) == (0, 1)
    code, out, _ = run("publish", other, "--base-version", "1", "--json")
    assert (code, json.loads(out)["version"]) == (0, 2)
    code, out, _ = run("show", "--document")
    assert json.loads(out) == other
    code, out, _ = run("diff", DOCUMENT, "--json")
    assert [item["place"] for item in json.loads(out)["differences"]] == [
        "teams[riggers].burst_tokens"
    ]


def test_keys_and_drains(log, run, monkeypatch):
    """Guards against a key that is shown twice or cannot be withdrawn."""
    run("publish", DOCUMENT, "--base-version", "0")
    code, out, _ = run("key", "give", "riggers", "--label", "shop", "--json")
    given = json.loads(out)
    assert code == 0
    assert given["key_hash"] == hash_key(given["key"])
    code, out, _ = run("show")
    assert given["key"] not in out
    assert run("drain", "engine-1")[0] == 0
    monkeypatch.setattr("sys.stdin", io.StringIO(given["key"] + "\n"))
    assert run("key", "withdraw", "-")[0] == 0
    shown = json.loads(run("show", "--json")[1])
    assert (shown["keys"], shown["withdrawn"]) == ([], [given["key_hash"]])
    assert shown["drained"] == ["engine-1"]
    assert run("undrain", "engine-1")[0] == 0


@pytest.mark.parametrize(
    ("append_faults", "read_faults", "code"),
    [
        ([DOWN], [], "log_unavailable"),
        ([], [DOWN], "log_unavailable"),
        ([RESPONSE_LOST], [None, *[DOWN] * 9], "outcome_unknown"),
    ],
)
def test_log_outage(log, run, monkeypatch, append_faults, read_faults, code):
    """Guards against an outage that is told as "nothing changed" when it may have."""
    monkeypatch.setattr("cassiamount.stream_reader.RETRY_DELAYS_S", (0.0, 0.0))
    log.append_faults, log.read_faults = append_faults, read_faults
    status, out, _ = run("publish", DOCUMENT, "--base-version", "0", "--json")
    assert (status, json.loads(out)["error"]["code"]) == (1, code)


def test_withdrawal_reaches_vms_in_a_log_outage(log, run, monkeypatch):
    """Guards against a leaked key that works until the log is back."""
    asked = []

    async def withdraw_on_vms(addresses, key_hash):
        asked.append((list(addresses), key_hash))
        return [WithdrawnHere("127.0.0.1:1"), UnreachableVm("127.0.0.1:2", "refused")]

    monkeypatch.setattr(cli, "withdraw_on_vms", withdraw_on_vms)
    log.read_faults = [DOWN]
    code, _, err = run("key", "withdraw", HASH, "--admin-address", "127.0.0.1:1")
    assert code == 1
    assert asked == [(["127.0.0.1:1"], HASH)]
    assert "withdrawn directly on 1 VMs" in err
    assert "not reached: 127.0.0.1:2" in err
    assert "the log at 127.0.0.1:9001 cannot be used" in err


@pytest.mark.parametrize("missed", [False, True])
def test_status(run, monkeypatch, missed):
    """Guards against a status that hides a VM or fails on a newer daemon's JSON."""
    statuses = [VmStatus.from_json(STATUS)]
    if missed:
        statuses.append(UnreachableVm("127.0.0.1:2", "refused"))

    async def read_status(addresses):
        return statuses

    monkeypatch.setattr(cli, "read_status", read_status)
    code, out, _ = run("status", "--admin-address", "127.0.0.1:1")
    assert code == int(missed)
    for text in ("vm-1@f00", "1.2 s", "engine-1", "team-a", "budget/0"):
        assert text in out
    code, out, _ = run("status", "--admin-address", "127.0.0.1:1", "--json")
    first = json.loads(out)["vms"][0]
    assert (first["configuration_version"], first["uptime_ms"]) == (7, 0.0)
    assert VmStatus.from_json(first).to_json() == first
