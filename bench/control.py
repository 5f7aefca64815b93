"""Cost of control: what an idle daemon spends, by number of VMs and backend servers.

``python -m bench.control --json`` starts stand-ins and daemons on loopback, waits until
they are quiet, and reads processor time, memory and bytes of each daemon's sockets.
"""

import argparse
import json
import os
import re
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SETTLE_S = 8.0
LOG_PORT, LIST_PORT, FIRST_PORT = 9301, 9302, 9310
BYTES = re.compile(r"bytes_(?:sent|received):(\d+)")


class Setup:
    """One zone with a number of daemons and engines."""

    def __init__(self, directory, vms, engines):
        self.directory = Path(directory)
        self.vms = vms
        self.engines = engines
        self.daemons = []
        self._others = []

    def start(self):
        """Start all processes."""
        self._other("standins.log", LOG_PORT)
        self._other("standins.vm_list", LIST_PORT)
        ports = iter(range(FIRST_PORT, FIRST_PORT + 1000))
        engine_ports = [next(ports) for _ in range(self.engines)]
        for port in engine_ports:
            self._other("standins.engine", port, "--name", f"engine-{port}")
        wait_for_port(LIST_PORT)
        wait_for_port(LOG_PORT)
        vm_ports = [[next(ports) for _ in range(3)] for _ in range(self.vms)]
        for number, (_, peer, _) in enumerate(vm_ports):
            put_vm(f"vm-{number}", f"{HOST}:{peer}", "entry")
        for port in engine_ports:
            put_vm(f"engine-{port}", f"{HOST}:{port}", "backend")
        for number, (listen, peer, admin) in enumerate(vm_ports):
            self._daemon(f"vm-{number}", listen, peer, admin)
        time.sleep(2)
        publish(self.directory, configuration(engine_ports))

    def stop(self):
        """Stop all processes."""
        for group in (self.daemons, self._others):
            for process in group:
                process.send_signal(signal.SIGTERM)
            for process in group:
                try:
                    process.wait(15)
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()

    def _other(self, module, port, *options):
        command = [sys.executable, "-m", module, "--port", str(port), *options]
        self._others.append(
            subprocess.Popen(
                command, cwd=ROOT, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
            )
        )

    def _daemon(self, name, listen, peer, admin):
        settings = {
            "vm_name": name,
            "zone": "zone-a",
            "listen_address": f"{HOST}:{listen}",
            "peer_address": f"{HOST}:{peer}",
            "admin_address": f"{HOST}:{admin}",
            "log_address": f"{HOST}:{LOG_PORT}",
            "vm_list_address": f"{HOST}:{LIST_PORT}",
            "weight_store_address": f"{HOST}:9399",
            "balancer_wait_ms": 0,
            "claim_partitions": 1,
            "budget_partitions": 1,
        }
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        command = [sys.executable, "-m", "cassiamount.daemon", "--settings", str(path)]
        output = open(self.directory / f"{name}.log", "wb")
        self.daemons.append(
            subprocess.Popen(command, cwd=ROOT, stdout=output, stderr=output)
        )


def wait_for_port(port, limit_s=20.0):
    """Wait until a port takes connections."""
    deadline = time.monotonic() + limit_s
    while True:
        try:
            socket.create_connection((HOST, port), timeout=1).close()
            return
        except OSError:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.1)


def put_vm(name, address, kind):
    """Enter a VM in the VM list."""
    body = {
        "name": name,
        "zone": "zone-a",
        "address": address,
        "kind": kind,
        "state": "live",
    }
    request = urllib.request.Request(
        f"http://{HOST}:{LIST_PORT}/vms/{name}",
        data=json.dumps(body).encode(),
        headers={"Content-Type": "application/json"},
        method="PUT",
    )
    urllib.request.urlopen(request, timeout=5).close()


def configuration(engine_ports):
    """Return a configuration without models, so that placement stays quiet."""
    return {
        "zones": [{"name": "zone-a", "weight": 1}],
        "models": [],
        "adapters": [],
        "backends": [
            {
                "name": f"engine-{port}",
                "zone": "zone-a",
                "address": f"{HOST}:{port}",
                "kind": "engine",
                "memory_mb": 40000,
                "accelerators": 1,
                "max_running": 16,
                "checks_fence": True,
            }
            for port in engine_ports
        ],
        "services": [],
        "policy": {"attainment_weight": 1.0, "fairness_weight": 1.0},
        "templates": [],
        "teams": [],
    }


def publish(directory, document):
    """Publish a configuration with the command-line tool."""
    path = directory / "configuration.json"
    path.write_text(json.dumps(document))
    command = [sys.executable, "-m", "cassiamount.cli", "publish", str(path)]
    command += ["--base-version", "0", "--log-address", f"{HOST}:{LOG_PORT}"]
    subprocess.run(command, cwd=ROOT, check=True, stdout=subprocess.DEVNULL)


def cpu_s(pid):
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_mb(pid):
    """Return the resident memory of a process in MB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES / 1e6


def socket_bytes(pids):
    """Return sent plus received bytes of each process's open TCP sockets."""
    text = subprocess.run(
        ["ss", "-tniHpO"], capture_output=True, text=True, check=True
    ).stdout
    totals = dict.fromkeys(pids, 0)
    for line in text.splitlines():
        for pid in pids:
            if f"pid={pid}," in line:
                totals[pid] += sum(int(n) for n in BYTES.findall(line))
    return totals


def measure(vms, engines, seconds):
    """Return what one daemon spends, as the median and the largest of all daemons."""
    with tempfile.TemporaryDirectory(prefix="cassiamount-control-") as directory:
        setup = Setup(directory, vms, engines)
        try:
            setup.start()
            time.sleep(SETTLE_S)
            pids = [process.pid for process in setup.daemons]
            before = {pid: cpu_s(pid) for pid in pids}
            bytes_before = socket_bytes(pids)
            started = time.monotonic()
            time.sleep(seconds)
            took_s = time.monotonic() - started
            bytes_after = socket_bytes(pids)
            cpu = [100 * (cpu_s(pid) - before[pid]) / took_s for pid in pids]
            kb = [(bytes_after[p] - bytes_before[p]) / took_s / 1000 for p in pids]
            memory = [memory_mb(pid) for pid in pids]
        finally:
            setup.stop()
    return {
        "vms": vms,
        "engines": engines,
        "cpu_percent": spread(cpu),
        "memory_mb": spread(memory),
        "kb_per_s": spread(kb),
    }


def spread(values):
    """Return median and range."""
    return {
        "median": round(statistics.median(values), 2),
        "min": round(min(values), 2),
        "max": round(max(values), 2),
    }


def main():
    """Run all sizes and print the results."""
    parser = argparse.ArgumentParser(prog="bench.control", description=__doc__)
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument(
        "--sizes", default="1x2,2x2,4x2,8x2,2x8,2x16", help="VMs x engines"
    )
    options = parser.parse_args()
    rows = []
    for size in options.sizes.split(","):
        vms, engines = map(int, size.split("x"))
        rows.append(measure(vms, engines, options.seconds))
        if not options.json:
            print(rows[-1], flush=True)
    if options.json:
        print(json.dumps({"seconds": options.seconds, "rows": rows}, indent=2))


if __name__ == "__main__":
    main()
