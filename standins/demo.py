"""A small deployment on loopback: stand-ins, two daemons, a few requests."""

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
CONFIGURATION = ROOT / "examples" / "demo.json"
HOST = "127.0.0.1"
LOG_PORT, WEIGHTS_PORT, VM_LIST_PORT = 9001, 9002, 9003
ENGINES = (("engine-1", 9101, "--checks-fence"), ("engine-2", 9102, "--checks-fence"))
SERVICE = ("orders-app-1", 9201)
DAEMONS = (("vm-a1", "zone-a", 8101, 8201, 8301), ("vm-b1", "zone-b", 8102, 8202, 8302))
START_LIMIT_S = 30
STOP_LIMIT_S = 30


class DemoFailure(Exception):
    """A step of the demonstration did not work."""


class Deployment:
    """The processes of the demonstration."""

    def __init__(self, directory):
        self.directory = Path(directory)
        self._processes = []

    def start(self, name, module, *arguments):
        """Start ``python -m module``; its output goes to a file."""
        output = open(self.directory / f"{name}.log", "wb")
        process = subprocess.Popen(
            [sys.executable, "-m", module, *map(str, arguments)],
            cwd=ROOT,
            stdout=output,
            stderr=subprocess.STDOUT,
            # Ctrl-C must reach only the demonstration, which stops them in order.
            start_new_session=True,
        )
        self._processes.append((name, process))
        print(f"  started {name} (process {process.pid})")

    def stop(self):
        """Stop the daemons, then the rest; return the names of those that failed."""
        daemons = {daemon[0] for daemon in DAEMONS}
        failed = []
        for stop_daemons in (True, False):
            group = [p for p in self._processes if (p[0] in daemons) == stop_daemons]
            for _, process in group:
                process.terminate()
            failed += [name for name, process in group if not ended(name, process)]
        return failed


def ended(name, process):
    """Wait for a process; return whether it ended with status 0."""
    try:
        code = process.wait(STOP_LIMIT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        code = process.wait()
    print(f"  {name} exited with status {code}")
    return code == 0


def fetch(url, body=None, headers=None):
    """Return status, headers and body of a request."""
    request = urllib.request.Request(
        url,
        data=None if body is None else json.dumps(body).encode(),
        headers={"Content-Type": "application/json", **(headers or {})},
    )
    try:
        with urllib.request.urlopen(request, timeout=20) as response:
            return response.status, dict(response.headers), response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read().decode()


def wait_for(what, check):
    """Call `check` until it returns a true value."""
    deadline = time.monotonic() + START_LIMIT_S
    while time.monotonic() < deadline:
        try:
            value = check()
        except OSError:
            value = None
        if value:
            return value
        time.sleep(0.2)
    raise DemoFailure(f"{what} did not happen within {START_LIMIT_S} s")


def cassiamount(*arguments):
    """Run the command-line tool and return its output."""
    environment = {
        **os.environ,
        "CASSIAMOUNT_LOG_ADDRESS": f"{HOST}:{LOG_PORT}",
        "CASSIAMOUNT_ADMIN_ADDRESS": " ".join(f"{HOST}:{d[4]}" for d in DAEMONS),
    }
    print(f"$ cassiamount {' '.join(map(str, arguments))}")
    done = subprocess.run(
        [sys.executable, "-m", "cassiamount.cli", *map(str, arguments)],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
    )
    if done.returncode != 0:
        raise DemoFailure(done.stdout + done.stderr)
    return done.stdout


def start_platform(deployment):
    """Start the stand-ins for the platform and the backend servers."""
    deployment.start("log", "standins.log", "--port", LOG_PORT)
    deployment.start("weight-store", "standins.weight_store", "--port", WEIGHTS_PORT)
    deployment.start("vm-list", "standins.vm_list", "--port", VM_LIST_PORT)
    for name, port, *options in ENGINES:
        deployment.start(
            name,
            "standins.engine",
            *("--name", name, "--port", port, "--memory-mb", 40000),
            *("--weight-store", f"http://{HOST}:{WEIGHTS_PORT}"),
            *options,
        )
    name, port = SERVICE
    deployment.start(name, "standins.service", "--name", name, "--port", port)
    wait_for("the start of the VM list", list_vms)


def list_vms():
    """Enter the VMs and backend servers in the VM list."""
    entries = [
        (name, zone, f"{HOST}:{peer}", "entry") for name, zone, _, peer, _ in DAEMONS
    ]
    for backend in json.loads(CONFIGURATION.read_text())["backends"]:
        entries.append(
            (backend["name"], backend["zone"], backend["address"], "backend")
        )
    for name, zone, address, kind in entries:
        body = {"zone": zone, "address": address, "kind": kind, "state": "live"}
        request = urllib.request.Request(
            f"http://{HOST}:{VM_LIST_PORT}/vms/{name}",
            data=json.dumps({"name": name, **body}).encode(),
            headers={"Content-Type": "application/json"},
            method="PUT",
        )
        urllib.request.urlopen(request, timeout=5).close()
    return True


def start_daemons(deployment):
    """Write the settings of each daemon and start it."""
    for name, zone, port, peer, admin in DAEMONS:
        settings = {
            "vm_name": name,
            "zone": zone,
            "listen_address": f"{HOST}:{port}",
            "peer_address": f"{HOST}:{peer}",
            "admin_address": f"{HOST}:{admin}",
            "log_address": f"{HOST}:{LOG_PORT}",
            "vm_list_address": f"{HOST}:{VM_LIST_PORT}",
            "weight_store_address": f"{HOST}:{WEIGHTS_PORT}",
            "balancer_wait_ms": 200,
            "trace_exporter": {"file": str(deployment.directory / f"{name}.spans")},
        }
        path = deployment.directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        deployment.start(name, "cassiamount.daemon", "--settings", path)


def publish():
    """Publish the configuration and give a key; return the key."""
    print(cassiamount("check", CONFIGURATION))
    print(cassiamount("publish", CONFIGURATION, "--base-version", 0))
    given = cassiamount("key", "give", "team-a", "--json")
    key = json.loads(given)["key"]
    print(f"  key for team team-a: {key[:6]}... (shown once, stored as a hash)\n")
    return key


def ready(port, path):
    """Return whether an endpoint answers with 200."""
    return fetch(f"http://{HOST}:{port}{path}")[0] == 200


def first_answer(key):
    """Send a chat completion until its model is resident; return the answer."""
    status, headers, body = fetch(
        f"http://{HOST}:{DAEMONS[0][2]}/v1/chat/completions",
        {"model": "loom-7b", "messages": [{"role": "user", "content": "hello"}]},
        {"Authorization": f"Bearer {key}"},
    )
    return status == 200


def send_requests(key):
    """Send a streamed completion and service calls; return the request's id."""
    bearer = {"Authorization": f"Bearer {key}"}
    first, second = (f"http://{HOST}:{daemon[2]}" for daemon in DAEMONS)
    status, headers, body = fetch(
        f"{first}/v1/chat/completions",
        {
            "model": "hem-check",
            "stream": True,
            "max_tokens": 12,
            "messages": [{"role": "user", "content": "Check the hem of panel 7."}],
        },
        bearer,
    )
    print(f"streamed chat completion through {DAEMONS[0][0]}: {status}\n{body}")
    expect(status == 200 and "[DONE]" in body, "the stream was not complete")
    request_id = next(v for k, v in headers.items() if k.lower() == "x-request-id")
    status, _, body = fetch(f"{second}/services/orders-app/stock", None, bearer)
    print(f"GET /services/orders-app/stock through {DAEMONS[1][0]}: {status} {body}")
    expect(status == 200, "the stock call failed")
    order = {"item": "mesh", "metres": 40}
    headers = {**bearer, "Idempotency-Key": "demo-order-1"}
    answers = []
    for base in (first, second):
        status, _, body = fetch(f"{base}/services/orders-app/reorder", order, headers)
        print(f"POST /services/orders-app/reorder: {status} {body}")
        answers.append((status, body))
    expect(answers[0] == answers[1], "the repeated order was not answered alike")
    status, _, body = fetch(f"{first}/v1/models", None, {"Authorization": "Bearer no"})
    print(f"GET /v1/models with a wrong key: {status} {body}\n")
    expect(status == 401, "a wrong key was accepted")
    return request_id


def expect(condition, message):
    """Raise `DemoFailure` with `message` if the condition is false."""
    if not condition:
        raise DemoFailure(message)


def print_trace(deployment, request_id):
    """Print the spans of one request, in order of their start."""
    spans = []
    for path in sorted(deployment.directory.glob("*.spans")):
        lines = path.read_text().splitlines()
        spans += [json.loads(line) for line in lines if request_id in line]
    expect(spans, "no span of the request was written")
    print(f"trace of request {request_id}:")
    for span in sorted(spans, key=lambda span: span["start_ns"]):
        took_ms = (span["end_ns"] - span["start_ns"]) / 1e6
        print(f"  {span['name']:<10} {took_ms:8.2f} ms  {span['attributes']}")
    print()


def print_curl_lines(key):
    """Print commands to try while the deployment stays up."""
    base = f"http://{HOST}:{DAEMONS[0][2]}"
    print(f"""
Try:
  curl -s {base}/v1/models -H 'Authorization: Bearer {key}'
  curl -sN {base}/v1/chat/completions -H 'Authorization: Bearer {key}' \\
    -d '{{"model": "loom-7b", "stream": true,
        "messages": [{{"role": "user", "content": "hi"}}]}}'
  curl -s {base}/services/orders-app/stock -H 'Authorization: Bearer {key}'
  curl -s http://{HOST}:{DAEMONS[0][4]}/status
  curl -s http://{HOST}:{DAEMONS[0][4]}/metrics
Stop with Ctrl-C.""")


def run(deployment, keep):
    """Run all steps of the demonstration."""
    print("Starting the platform's stand-ins, two engines, a service and two daemons:")
    start_platform(deployment)
    start_daemons(deployment)
    for name, _, _, _, admin in DAEMONS:
        wait_for(f"the start of {name}", lambda port=admin: ready(port, "/livez"))
    key = publish()
    for name, _, _, _, admin in DAEMONS:
        wait_for(f"readiness of {name}", lambda port=admin: ready(port, "/readyz"))
    wait_for("the first answer", lambda: first_answer(key))
    request_id = send_requests(key)
    print(cassiamount("status"))
    if keep:
        print_curl_lines(key)
        wait_for_signal()
    return request_id


def wait_for_signal():
    """Wait for Ctrl-C or SIGTERM."""
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: None)
    signal.pause()


def main():
    """Run the demonstration; exit 0 only if every step worked."""
    parser = argparse.ArgumentParser(prog="scripts/demo", description=__doc__)
    parser.add_argument("--keep", action="store_true", help="stay up until Ctrl-C")
    keep = parser.parse_args().keep
    with tempfile.TemporaryDirectory(prefix="cassiamount-demo-") as directory:
        deployment = Deployment(directory)
        failure = None
        request_id = None
        try:
            request_id = run(deployment, keep)
        except DemoFailure as error:
            failure = str(error)
        print("Stopping:")
        failed = deployment.stop()
        if request_id and not failure:
            print_trace(deployment, request_id)
        if failure or failed:
            show_logs(deployment)
            print(f"The demonstration failed: {failure or failed}", file=sys.stderr)
            sys.exit(1)
    print("Done.")


def show_logs(deployment):
    """Print the end of each process's output."""
    for path in sorted(deployment.directory.glob("*.log")):
        print(f"--- {path.name}")
        print("\n".join(path.read_text(errors="replace").splitlines()[-25:]))


if __name__ == "__main__":
    main()
