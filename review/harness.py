"""A small deployment on loopback, for the scripts of this review.

It starts the project's programs with the commands of the deploy file, as processes
with settings files of their own, and stands in for the platform: it starts a process
again that has ended. Clients, servers and the operator speak what PROTOCOL.md says.
"""

import http.client
import json
import os
import random
import select
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import zlib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
HELD, BROKEN, NOT_RUN = 0, 1, 2
SYN, ACK, FIN, RST, BOUNCED = 64, 1, 16, 8, 128
RESET_DISTANCE = 76_800
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 4000, "ackTimeoutMs": 5000,
    "catchUpS": 4, "drainMs": 3000, "graceS": 6, "lossSlackMs": 200,
    "configApplyMs": 3000, "rollbackSlackMs": 250, "maxStretchMs": 12000,
    "coldOvershoot": 1.5, "coldSlack": 5, "evacuateMs": 5000, "recoveryS": 12,
    "flowMisrouteMs": 2000, "flowTtlS": 60,
}
HEARTBEAT_S = 1.2
RESTART_DELAY_S = 0.5


class Record:
    """The file record.txt: what was sent, answered and run, with times."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._started = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started:9.3f} {text}\n")
            self._file.flush()


class Deployment:
    """Processes of the project, each on a loopback address of its own."""

    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = f"127.{random.randint(16, 250)}"
        self.processes = {}
        self.own_ends = {}
        self.is_closing = False
        self._held = set()
        self._lock = threading.RLock()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._commands = {name: role["run"].split() for name, role in deploy["roles"].items()}
        probe = f"{self.network}.0.1"
        sockets = []
        for _ in range(8):
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.bind((probe, 0))
            sockets.append(sock)
        ports = [sock.getsockname()[1] for sock in sockets]
        for sock in sockets:
            sock.close()
        (self.packet_port, self.ready_port, self.control_port,
         self.outbound_port, self.app_port, *self.metrics_ports) = ports
        used = set(ports)
        self.internal_port = next(
            port for port in range(random.randint(20000, 30000), 60000)
            if not used & set(range(port, port + 16))
        )
        self.zones = ["a", "b", "c"]
        self.controls = [f"{self.network}.{number + 1}.10" for number in range(3)]
        threading.Thread(target=self._watch, daemon=True).start()

    def address(self, zone, number):
        return f"{self.network}.{self.zones.index(zone) + 1}.{number}"

    def start(self, role, host, zone, bootstrap=False, **changes):
        """Start a process; its key is role and host."""
        listen = {}
        data = None
        if role == "control":
            listen["control"] = f"{host}:{self.control_port}"
            data = self.folder / f"data-{host}"
            data.mkdir(exist_ok=True)
        if role in ("entry", "agent"):
            listen["udpListen"] = f"{host}:{self.packet_port}"
            listen["readiness"] = f"{host}:{self.ready_port}"
        if role == "agent":
            listen["outbound"] = f"{host}:{self.outbound_port}"
            listen["control"] = f"{host}:{self.control_port}"
        settings = {
            "node": f"{role}-{host}", "role": role, "ip": host, "zone": zone,
            "machineClass": "side" if role == "agent" else "edge",
            "region": "r", "zones": dict.fromkeys(self.zones, "r"), "listen": listen,
            "internalPorts": [self.internal_port, self.internal_port + 15],
            "seeds": [f"{seed}:{self.control_port}" for seed in self.controls],
            "bootstrap": bootstrap, "faultCounted": role == "control",
            "limits": {"cpuShare": 0.968, "cores": 2, "memoryMb": 300, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 64},
            "dataDir": str(data) if data else None, "discovery": "local",
            "entry": "announce", "heartbeatMs": HEARTBEAT_S * 1000,
            "contracts": ["base", "drain", "config", "cost", "recover", "flows", "places"],
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS, "config_mode": "highest", "hash": "steady",
            "forwardMode": "agent", **changes,
        }
        path = self.folder / f"{role}-{host}.json"
        path.write_text(json.dumps(settings))
        self._launch((role, host))

    def _launch(self, key):
        role, host = key
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["FULMARSHORE_CONFIG"] = str(self.folder / f"{role}-{host}.json")
        port = self.metrics_ports[("entry", "agent", "control").index(role)]
        environment["FULMARSHORE_METRICS_PORT"] = str(port)
        command = list(self._commands[role])
        if command[0] == "python3":
            command[0] = sys.executable
        log = (self.folder / f"{role}-{host}.log").open("ab")
        with self._lock:
            self.processes[key] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
            self._held.discard(key)
        log.close()
        self.record.write(f"platform: starts {role} on {host}")

    def _watch(self):
        """Start processes again that ended by themselves, after a short delay."""
        while not self.is_closing:
            time.sleep(0.05)
            with self._lock:
                ended = [
                    (key, process.returncode) for key, process in self.processes.items()
                    if process.poll() is not None and key not in self._held
                ]
                self._held.update(key for key, _ in ended)
            for key, code in ended:
                self.own_ends[key] = self.own_ends.get(key, 0) + 1
                self.record.write(
                    f"platform: {key[0]} on {key[1]} ended by itself, exit code {code}"
                )
                threading.Timer(RESTART_DELAY_S, self._restart, [key]).start()

    def _restart(self, key):
        if not self.is_closing:
            path = self.folder / f"{key[0]}-{key[1]}.json"
            settings = json.loads(path.read_text())
            settings["bootstrap"] = False
            path.write_text(json.dumps(settings))
            self._launch(key)

    def terminate(self, role, host, down_s=RESTART_DELAY_S):
        """Planned stop and start, as the platform does both."""
        key = (role, host)
        with self._lock:
            process = self.processes[key]
            self._held.add(key)
        self.record.write(f"platform: SIGTERM to {role} on {host}")
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(BOUNDS["graceS"])
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        self.record.write(f"platform: {role} on {host} has stopped")
        time.sleep(down_s)
        self._restart(key)

    def remove(self, role, host):
        """Planned stop of a machine that never comes back."""
        key = (role, host)
        with self._lock:
            process = self.processes[key]
            self._held.add(key)
        self.record.write(f"platform: SIGTERM to {role} on {host}, which is removed")
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(BOUNDS["graceS"])
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        self.record.write(f"platform: {role} on {host} has stopped")

    def lose_disk(self, host, down_s):
        """A control host's machine goes down and comes back with an empty disk."""
        key = ("control", host)
        with self._lock:
            process = self.processes[key]
            self._held.add(key)
        process.kill()
        process.wait()
        data = self.folder / f"data-{host}"
        shutil.rmtree(data)
        data.mkdir()
        self.record.write(f"platform: {host} is down and has lost its disk")
        time.sleep(down_s)
        self._restart(key)

    def kill_all(self, except_for, down_s=0.7):
        """All processes are killed at the same moment, and are back within a second."""
        with self._lock:
            keys = [key for key in self.processes if key != except_for]
            self._held.update(keys)
            for key in keys:
                self.processes[key].kill()
            for key in keys:
                self.processes[key].wait()
        self.record.write("platform: all processes are killed")
        time.sleep(down_s)
        for key in keys:
            self._restart(key)

    def read_log(self, role, host):
        return (self.folder / f"{role}-{host}.log").read_text(errors="replace")

    def is_ready(self, host):
        return self.call(host, self.ready_port, "GET", "/v1/ready")[0] == 200

    def call(self, host, port, method, path, body=b"", timeout=1.0):
        """One HTTP call; status 0 if there was no answer."""
        connection = http.client.HTTPConnection(host, port, timeout=timeout)
        try:
            connection.request(method, path, body, {"Content-Type": "application/json"})
            response = connection.getresponse()
            return response.status, response.read(), response.getheader("Location") or ""
        except (OSError, http.client.HTTPException):
            return 0, b"", ""
        finally:
            connection.close()

    def order(self, method, path, body=b"", limit_s=10.0, patient=True):
        """An order or read of the operator, as PROTOCOL.md describes it.

        Returns status and body of the clear answer, or status 0 if none came.
        """
        deadline = time.monotonic() + limit_s
        backoff = 0.1
        number = random.randrange(3)
        while time.monotonic() < deadline:
            host, port = self.controls[number % 3], self.control_port
            target = path
            for _ in range(3):
                status, content, location = self.call(host, port, method, target, body)
                self.record.write(f"operator: {method} {path} ({len(body)} B) at {host}: {status or 'no answer'}")
                if status != 307:
                    break
                place = location.removeprefix("http://")
                place, _, rest = place.partition("/")
                host, _, text = place.partition(":")
                port, target = int(text), "/" + rest
            if status == 200 or status in (400, 404, 409, 412, 413, 422):
                return status, content
            number += 1
            time.sleep(min(backoff, max(0.0, deadline - time.monotonic())))
            backoff = min(backoff * 2, 1.0)
        return 0, b""

    def close(self):
        """End all processes that were started."""
        self.is_closing = True
        time.sleep(0.1)
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def wait_for(condition, limit_s):
    """Wait until a condition holds; return its value, or None after the limit."""
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    return None


def make_packet(source, destination, flags, sequence, acknowledged, data=b""):
    """A packet of a client or a server; ``sum`` is keyed, here by a constant."""
    head = source + destination + len(data).to_bytes(2)
    tail = (sequence % 2**32).to_bytes(4) + (acknowledged % 2**32).to_bytes(4)
    checksum = zlib.crc32(b"key" + head + bytes([flags]) + tail + data).to_bytes(4)
    return head + checksum + bytes([flags]) + bytes(7) + tail + data


def is_genuine(packet):
    covered = packet[:14] + bytes([packet[18] & ~BOUNCED]) + packet[26:]
    return packet[14:18] == zlib.crc32(b"key" + covered).to_bytes(4)


def name_flow(key):
    return f"{socket.inet_ntoa(key[:4])}:{int.from_bytes(key[4:6])}"


class Server:
    """An endpoint beside an agent: accepts flows, runs requests, sends heartbeats.

    A SYN+ACK that nobody acknowledges is sent again like any other missing packet:
    after 200 ms, doubled up to 1.6 s, at most 8 times.
    """

    def __init__(self, deployment, host, zone, service, work_s=0.03, slots=3):
        self.deployment = deployment
        self.record = deployment.record
        self.host, self.zone, self.service = host, zone, service
        self.work_s, self.slots = work_s, slots
        self.born = int(time.time() * 1000)
        self.name = f"i-{random.getrandbits(40):010x}"
        self.sequence = 0
        self.half_open = {}
        self.open = {}
        self.answered = {}
        self.arrivals = []
        self.foreign = []
        self.forged = 0
        self.runs = []
        self.is_standing = False
        self.is_alive = True
        self._resends = []
        self.retransmits_openings = True
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, deployment.app_port))
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((host, deployment.app_port))
        self._listener.listen(16)
        threading.Thread(target=self._serve, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def _beat(self):
        while self.is_alive:
            if not self.is_standing:
                self.sequence += 1
                body = json.dumps({
                    "service": self.service, "version": "v1",
                    "address": f"{self.host}:{self.deployment.app_port}",
                    "zone": self.zone, "slots": self.slots, "state": "ready",
                    "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born,
                }).encode()
                status = self.deployment.call(
                    self.host, self.deployment.control_port, "PUT",
                    f"/v1/instances/{self.name}", body,
                )[0]
                if status != 200:
                    time.sleep(0.2)
                    continue
            time.sleep(HEARTBEAT_S)

    def _send(self, packet):
        self._socket.sendto(packet, (self.host, self.deployment.outbound_port))

    def _serve(self):
        self._socket.settimeout(0.02)
        while self.is_alive:
            while self.is_standing:
                time.sleep(0.01)
            try:
                packet = self._socket.recv(2048)
            except (TimeoutError, ConnectionRefusedError):
                packet = None
            if packet:
                self._handle(packet)
            now = time.monotonic()
            for entry in list(self._resends):
                key, due, delay, count, content = entry
                if key not in self.half_open or count >= 8:
                    self._resends.remove(entry)
                elif now >= due:
                    self._resends.remove(entry)
                    self._send(content)
                    delay = min(delay * 2, 1.6)
                    self._resends.append((key, now + delay, delay, count + 1, content))

    def _handle(self, packet):
        key, flags = packet[:12], packet[18]
        sequence = int.from_bytes(packet[26:30])
        acknowledged = int.from_bytes(packet[30:34])
        data = packet[34:]
        if not is_genuine(packet) or flags & BOUNCED:
            self.forged += 1
            return
        self.arrivals.append((time.monotonic(), key))
        if flags & (SYN | ACK) == SYN:
            if key in self.open:
                return
            is_first = key not in self.half_open
            own = self.half_open.setdefault(key, random.getrandbits(32))
            answer = make_packet(key[6:], key[:6], SYN | ACK, own, sequence + 1)
            self._send(answer)
            if is_first and self.retransmits_openings:
                self._resends.append((key, time.monotonic() + 0.2, 0.2, 0, answer))
            return
        if key in self.half_open and acknowledged == (self.half_open[key] + 1) % 2**32:
            self.open[key] = (self.half_open.pop(key) + 1) % 2**32
            self.record.write(f"server {self.host} ({self.service}): flow of {name_flow(key)} is open")
        if key not in self.open:
            self.foreign.append((time.monotonic(), key))
            self._send(packet[:18] + bytes([flags | BOUNCED]) + bytes(3) + packet[22:])
            return
        if flags & RST:
            del self.open[key]
            return
        if data:
            done = self.answered.get((key, sequence))
            if done is None:
                self.runs.append((time.monotonic(), key, data))
                self.record.write(f"server {self.host} ({self.service}): runs {data.decode()}")
                time.sleep(self.work_s)
                done = make_packet(
                    key[6:], key[:6], ACK, self.open[key], sequence + len(data), b"done " + data
                )
                self.open[key] = (self.open[key] + 5 + len(data)) % 2**32
                self.answered[key, sequence] = done
            self._send(done)


class Client:
    """Flows of clients, through a router that hashes them over the ready entry hosts."""

    def __init__(self, deployment, host, entries):
        self.deployment = deployment
        self.record = deployment.record
        self.host = host
        self.entries = entries
        self.ready = []
        self.flows = {}
        self._port = 40000
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, deployment.packet_port))
        self._misses = dict.fromkeys(entries, 2)
        threading.Thread(target=self._receive, daemon=True).start()
        threading.Thread(target=self._probe, daemon=True).start()

    def _probe(self):
        """Readiness twice a second; two misses take a host out of rotation."""
        def look(entry):
            is_ready = self.deployment.call(entry, self.deployment.ready_port, "GET", "/v1/ready", timeout=0.4)[0] == 200
            self._misses[entry] = 0 if is_ready else self._misses[entry] + 1
        while not self.deployment.is_closing:
            looks = [threading.Thread(target=look, args=[entry]) for entry in self.entries]
            for thread in looks:
                thread.start()
            for thread in looks:
                thread.join()
            self.ready = [entry for entry in self.entries if self._misses[entry] < 2]
            time.sleep(0.5)

    def route(self, key):
        """The entry host of a flow: highest hash among those in rotation."""
        chosen = self.ready or self.entries
        return max(chosen, key=lambda entry: zlib.crc32(key + entry.encode()))

    def send(self, packet):
        self._socket.sendto(packet, (self.route(packet[:12]), self.deployment.packet_port))

    def open_flow(self, address, port):
        """A new flow from a new port; it is not opened yet."""
        self._port += 1
        key = (socket.inet_aton(self.host) + self._port.to_bytes(2)
               + socket.inet_aton(address) + port.to_bytes(2))
        flow = self.flows[key] = ClientFlow(self, key)
        return flow

    def _receive(self):
        self._socket.settimeout(0.1)
        while not self.deployment.is_closing:
            try:
                packet = self._socket.recv(2048)
            except (TimeoutError, ConnectionRefusedError):
                continue
            flow = self.flows.get(packet[6:12] + packet[:6])
            if flow is not None:
                flow.handle(packet)


class ClientFlow:
    """One flow of a client."""

    def __init__(self, client, key):
        self.client, self.key = client, key
        self.sequence = random.getrandbits(31)
        self.acknowledged = 0
        self.is_open = False
        self.reset_at = None
        self.resets_ignored = 0
        self.openings_to_lose = 0
        self._answer = None
        self._event = threading.Event()

    @property
    def name(self):
        return name_flow(self.key)

    def handle(self, packet):
        flags = packet[18]
        sequence = int.from_bytes(packet[26:30])
        if flags & RST:
            distance = min((sequence - self.acknowledged) % 2**32, (self.acknowledged - sequence) % 2**32)
            if self.is_open and distance > RESET_DISTANCE:
                self.resets_ignored += 1
                return
            if self.reset_at is None:
                self.reset_at = time.monotonic()
                self.was_open = self.is_open
                self.client.record.write(
                    f"client {self.name}: reset, {'of the open flow' if self.is_open else 'before it opened'}"
                )
            self.is_open = False
            self._event.set()
            return
        if flags & (SYN | ACK) == SYN | ACK:
            if self.openings_to_lose:
                self.openings_to_lose -= 1
                self.client.record.write(f"network: loses a SYN+ACK for {self.name}")
                return
            if not self.is_open and self.reset_at is None:
                self.is_open = True
                self.sequence += 1
                self.acknowledged = (sequence + 1) % 2**32
                self._event.set()
            return
        if packet[34:] and sequence == self.acknowledged:
            self.acknowledged = (self.acknowledged + len(packet) - 34) % 2**32
            self._answer = packet[34:]
            self._event.set()

    def _make(self, flags, sequence, acknowledged, data=b""):
        return make_packet(self.key[:6], self.key[6:], flags, sequence, acknowledged, data)

    def connect(self):
        """Open the flow; copies of the SYN after 200 and 600 ms, 1.4 s in all."""
        started = time.monotonic()
        for number, until in enumerate((0.2, 0.6, 1.4)):
            self.client.send(self._make(SYN, self.sequence, number))
            self._event.wait(started + until - time.monotonic())
            if self.is_open or self.reset_at is not None:
                break
        self._event.clear()
        self.client.record.write(
            f"client {self.name}: {'has the SYN+ACK' if self.is_open else 'not opened'}"
        )
        return self.is_open

    def acknowledge_opening(self):
        """The end of the handshake, without data."""
        self.client.send(self._make(ACK, self.sequence, self.acknowledged))

    def request(self, text, deadline_s=2.0):
        """Send a request; return its answer, or None (reset, or the deadline)."""
        data = text.encode()
        self._answer = None
        self._event.clear()
        deadline = time.monotonic() + deadline_s
        delay = 0.2
        self.client.record.write(f"client {self.name}: sends {text} through {self.client.route(self.key)}")
        while time.monotonic() < deadline and self._answer is None and self.is_open:
            self.client.send(self._make(ACK, self.sequence, self.acknowledged, data))
            self._event.wait(min(delay, max(0.0, deadline - time.monotonic())))
            delay = min(delay * 2, 1.6)
        if self._answer is None:
            self.client.record.write(f"client {self.name}: no answer to {text}")
            return None
        self.client.record.write(f"client {self.name}: answered {self._answer.decode()}")
        self.sequence += len(data)
        return self._answer


def make_configuration(version, routes, services, idle_ms=15000):
    """A configuration; ``routes`` are (name, address, port, type, service)."""
    return json.dumps({
        "version": version,
        "routes": [
            {"name": name, "hostname": address, "pathPrefix": f"/{port}/", "type": kind,
             "timeoutMs": 2000, "targetLatencyMs": 200, "priority": 1, "service": service,
             "attempts": 2}
            for name, address, port, kind, service in routes
        ],
        "services": [
            {"name": name, "healthCheckPath": "/healthz", "maxConnections": 2000,
             "protocol": "h1", "tls": False, "coldStartS": 2.0, "coldPerS": 0.0}
            for name in services
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": idle_ms},
    }, ensure_ascii=False).encode()


def run(folder, play):
    """Run a case: ``play(deployment, record, trouble)`` returns HELD, BROKEN or NOT_RUN."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {trouble}")
    deployment = Deployment(record)
    timer = threading.Timer(110, lambda: (deployment.close(), os._exit(NOT_RUN)))
    timer.daemon = True
    timer.start()
    code = NOT_RUN
    try:
        code = play(deployment, record, trouble)
    except Exception as error:  # a case that could not run
        record.write(f"could not run: {error!r}")
    finally:
        deployment.close()
    record.write(f"exit code {code}")
    print({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "could not run"}[code])
    os._exit(code)
