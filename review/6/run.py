"""A client opens a flow again from the port of one that its draining endpoint closed."""

import http.client
import json
import os
import random
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import zlib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTROLS = ["127.78.1.1", "127.78.2.1", "127.78.3.1"]
ENTRY = "127.78.4.1"
SIDES = ["127.78.5.1", "127.78.5.2"]
CLIENT = "127.78.6.1"
ROUTE = ("127.78.9.1", 443)
SERVICE = "huvo11a"
ZONES = ["a", "b", "c"]
INTERNAL_PORTS = 16
HEARTBEAT_S = 0.77
DRAIN_S = 3.0
CLIENTS = 6
ROUNDS = 4
SYN, ACK, FIN, RST, BOUNCED = 64, 1, 16, 8, 128
HEAD = struct.Struct(">4sH4sHHIB3sIII")

started_at = time.monotonic()
record = (FOLDER / "record.txt").open("w")
lock = threading.Lock()


def now():
    return time.monotonic() - started_at


def note(text):
    with lock:
        line = f"{now():7.3f} {text}"
        print(line)
        record.write(line + "\n")
        record.flush()


def pack(source, destination, flags, seq, ack, data=b""):
    """Return a packet; the sum is a stand-in for the users' keyed sum."""
    host, port = socket.inet_aton(source[0]), source[1]
    other, number = socket.inet_aton(destination[0]), destination[1]
    covered = host + other + struct.pack(">HHBII", port, number, flags, seq, ack)
    total = zlib.crc32(covered + data)
    fields = (host, port, other, number, len(data), total, flags, bytes(3), 0)
    return HEAD.pack(*fields, seq, ack) + data


def unpack(content):
    fields = HEAD.unpack_from(content)
    source = (socket.inet_ntoa(fields[0]), fields[1])
    destination = (socket.inet_ntoa(fields[2]), fields[3])
    return source, destination, fields[6], fields[9], fields[10], content[HEAD.size :]


class Endpoint:
    """Takes flows, runs their requests, and closes a flow with the next response."""

    def __init__(self, host, ports):
        self.host, self.ports = host, ports
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.draining = False
        self.closes = False
        self.acknowledged_at = None
        self.flows = {}
        self.taken = []
        self.ended = False
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.bind((host, ports["app"]))
        self.tcp = socket.create_server((host, ports["app"]))
        for work in (self.read, self.accept, self.announce):
            threading.Thread(target=work, daemon=True).start()

    def accept(self):
        """Answer health checks."""
        while True:
            try:
                connection, _ = self.tcp.accept()
                connection.recv(4096)
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                connection.close()
            except OSError:
                if self.ended:
                    return

    def announce(self):
        while not self.ended:
            self.announce_once()
            time.sleep(HEARTBEAT_S)

    def announce_once(self):
        with lock:
            self.sequence += 1
            body = {
                "service": SERVICE,
                "address": f"{self.host}:{self.ports['app']}",
                "zone": "a",
                "version": "v1",
                "slots": 5,
                "state": "draining" if self.draining else "ready",
                "coldRemainingMs": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
        path = f"/v1/instances/{self.id}"
        status, _ = call(self.host, self.ports["control"], "PUT", path, body)
        return status

    def drain(self):
        """Report ``draining``; note when that is acknowledged."""
        self.draining = True
        status = self.announce_once()
        if status == 200:
            self.acknowledged_at = now()
        note(f"endpoint {self.host} says it is draining: {status}")

    def leave(self):
        """Take leave and end, as an endpoint does after it has drained."""
        self.ended = True
        call(self.host, self.ports["control"], "DELETE", f"/v1/instances/{self.id}")
        for sock in (self.udp, self.tcp):
            try:
                # Wakes the thread that waits for input.
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()
        note(f"endpoint {self.host} has ended")

    def send(self, content):
        self.udp.sendto(content, (self.host, self.ports["outbound"]))

    def read(self):
        while True:
            try:
                content = self.udp.recv(2048)
            except OSError:
                return
            if self.ended:
                return
            if len(content) >= HEAD.size:
                self.handle(content)

    def handle(self, content):
        client, route, flags, seq, ack, data = unpack(content)
        flow = self.flows.get(client)
        if flags & (SYN | ACK) == SYN:
            if flow is None or flow["ended"]:
                number = random.getrandbits(31)
                flow = {"seq": number, "next": seq + 1, "open": False, "ended": False}
                flow["syn_at"] = now()
                self.flows[client] = flow
            self.send(pack(route, client, SYN | ACK, flow["seq"], seq + 1))
            return
        if flow is None or (not flow["open"] and ack != flow["seq"] + 1):
            self.send(content[:18] + bytes([flags | BOUNCED]) + bytes(3) + content[22:])
            return
        if flags & RST:
            flow["ended"] = True
            return
        if not flow["open"]:
            flow["open"] = True
            flow["seq"] += 1
            self.taken.append((flow["syn_at"], client))
            note(f"endpoint {self.host} has a flow of port {client[1]}")
        if data and seq == flow["next"]:
            flow["next"] += len(data)
            note(f"endpoint {self.host} runs {data.decode()} of port {client[1]}")
            time.sleep(0.005)
            answer = b"done " + data
            ends = FIN if self.closes else 0
            self.send(pack(route, client, ACK | ends, flow["seq"], flow["next"], answer))
            flow["seq"] += len(answer) + (1 if ends else 0)
        if flags & FIN:
            flow["ended"] = True
            end = seq + len(data) + 1
            self.send(pack(route, client, ACK, flow["seq"], end))


class Client:
    """Opens flows from one port and sends a request at a time."""

    def __init__(self, wire, port):
        self.wire = wire
        self.address = (CLIENT, port)
        self.arrived = threading.Condition()
        self.packets = []
        self.is_closed = True

    def take(self, packet):
        with self.arrived:
            self.packets.append(packet)
            self.arrived.notify()

    def wait(self, test, for_s):
        """Return the first packet that a test accepts, or None."""
        until = now() + for_s
        with self.arrived:
            while True:
                for packet in self.packets:
                    if test(packet):
                        self.packets.remove(packet)
                        return packet
                if now() >= until:
                    return None
                self.arrived.wait(until - now())

    def send(self, flags, data=b"", ack=None):
        acknowledged = self.peer if ack is None else ack
        packet = pack(self.address, ROUTE, flags, self.seq, acknowledged, data)
        self.wire.send(packet)

    def open(self):
        """Open a flow; return when its first SYN was sent, or None."""
        self.packets.clear()
        self.seq, self.peer = random.getrandbits(30), 0
        sent_at = now()
        for copy, wait_s in enumerate((0.2, 0.4, 0.8)):
            self.send(SYN, ack=copy)
            answer = self.wait(lambda p: p[2] & SYN or p[2] & RST, wait_s)
            if answer is None:
                continue
            if answer[2] & RST:
                return None
            self.peer = answer[3] + 1
            self.seq += 1
            self.is_closed = False
            return sent_at
        return None

    def request(self, data):
        """Send a request; return the answer, or None."""
        for wait_s in (0.2, 0.4, 0.8, 1.6):
            self.send(ACK, data)
            answer = self.wait(lambda p: p[5] or p[2] & RST, wait_s)
            if answer is None:
                continue
            if answer[2] & RST:
                return None
            self.seq += len(data)
            self.peer = answer[3] + len(answer[5])
            if answer[2] & FIN:
                # The endpoint closes the flow first; the client closes it, too.
                self.peer += 1
                self.send(FIN | ACK)
                self.seq += 1
                self.is_closed = True
            else:
                self.send(ACK)
            return answer[5]
        return None


class Wire:
    """The clients' end of the platform: one entry host is in rotation."""

    def __init__(self, port):
        self.port = port
        self.clients = {}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((CLIENT, port))
        threading.Thread(target=self.read, daemon=True).start()

    def send(self, content):
        self.socket.sendto(content, (ENTRY, self.port))

    def read(self):
        while True:
            try:
                packet = unpack(self.socket.recv(2048))
            except OSError:
                return
            client = self.clients.get(packet[1][1])
            if client is not None:
                client.take(packet)


def call(host, port, method, path, body=None):
    """Send an HTTP request; follow two redirects; 0 without a response."""
    for _ in range(3):
        connection = http.client.HTTPConnection(host, port, timeout=1)
        try:
            content = None if body is None else json.dumps(body)
            headers = {"Content-Type": "application/json"}
            connection.request(method, path, content, headers)
            response = connection.getresponse()
            answer = response.read()
        except OSError:
            return 0, b""
        finally:
            connection.close()
        if response.status != 307:
            return response.status, answer
        host = response.getheader("Location").split("/")[2].partition(":")[0]
    return 307, b""


def find_ports():
    """Return ports that are free, the same on all hosts."""
    for _ in range(200):
        base = random.randrange(20000, 55000)
        held = []
        try:
            for host in [*CONTROLS, ENTRY, *SIDES, CLIENT]:
                for number in range(INTERNAL_PORTS + 6):
                    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                        sock = socket.socket(socket.AF_INET, kind)
                        held.append(sock)
                        sock.bind((host, base + number))
        except OSError:
            continue
        finally:
            for sock in held:
                sock.close()
        names = ("packets", "control", "readiness", "outbound", "app")
        ports = {name: base + number for number, name in enumerate(names)}
        return {**ports, "internal": base + len(names)}
    raise SystemExit(2)


def start(folder, role, host, zone, ports, processes):
    """Start a program of the deploy file with its settings."""
    listen = {}
    if role == "control":
        listen["control"] = f"{host}:{ports['control']}"
    else:
        listen["udpListen"] = f"{host}:{ports['packets']}"
        listen["readiness"] = f"{host}:{ports['readiness']}"
    settings = {
        "node": f"{role}-{host}",
        "role": role,
        "machineClass": "side" if role == "agent" else "edge",
        "ip": host,
        "zone": zone,
        "region": "r",
        "zones": dict.fromkeys(ZONES, "r"),
        "listen": listen,
        "internalPorts": [ports["internal"], ports["internal"] + INTERNAL_PORTS - 1],
        "seeds": [f"{seed}:{ports['control']}" for seed in CONTROLS],
        "bootstrap": True,
        "heartbeatMs": int(HEARTBEAT_S * 1000),
        "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
        "bounds": {
            "contactMs": 4000,
            "drainMs": int(DRAIN_S * 1000),
            "addrReuseS": 2,
            "graceS": 6,
            "coldOvershoot": 1.5,
            "coldSlack": 5,
        },
        "hash": "steady",
        "forwardMode": "agent",
    }
    if role == "control":
        settings["dataDir"] = str(folder / f"data-{host}")
        os.mkdir(settings["dataDir"])
    if role == "agent":
        listen["control"] = f"{host}:{ports['control']}"
        listen["outbound"] = f"{host}:{ports['outbound']}"
        settings["app"] = f"{host}:{ports['app']}"
        settings["service"] = SERVICE
    path = folder / f"{role}-{host}.json"
    path.write_text(json.dumps(settings))
    environment = {
        "PATH": os.environ["PATH"],
        "HOME": os.environ.get("HOME", "/"),
        "PYTHONPATH": str(ROOT / "target" / "deps"),
        "FULMARSHORE_CONFIG": str(path),
    }
    log = (folder / f"{role}-{host}.log").open("wb")
    command = ["python3", "-m", "fulmarshore.platform", role]
    processes.append(
        subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log)
    )


def configure(ports):
    """Send the first configuration until it is accepted."""
    route = {
        "name": "r-1",
        "hostname": ROUTE[0],
        "pathPrefix": f"/{ROUTE[1]}/",
        "type": "safe",
        "timeoutMs": 1500,
        "targetLatencyMs": 100,
        "priority": 2,
        "service": SERVICE,
        "attempts": 2,
    }
    service = {
        "name": SERVICE,
        "healthCheckPath": "/healthz",
        "maxConnections": 2000,
        "protocol": "h1",
        "tls": False,
        "coldStartS": 2.0,
        "coldPerS": 0.0,
    }
    body = {
        "version": 7,
        "routes": [route],
        "services": [service],
        "limits": {"idleTimeoutMs": 15000},
    }
    while now() < 30:
        for host in CONTROLS:
            if call(host, ports["control"], "PUT", "/v1/config", body)[0] == 200:
                return True
        time.sleep(0.2)
    return False


def play(ports):
    if not configure(ports):
        note("the configuration was not accepted")
        return 2
    endpoints = [Endpoint(host, ports) for host in SIDES]
    while call(ENTRY, ports["readiness"], "GET", "/v1/ready")[0] != 200:
        if now() > 40:
            note("the entry host is not ready")
            return 2
        time.sleep(0.1)
    # All machines are in touch: they have run for contactMs.
    time.sleep(5)
    wire = Wire(ports["packets"])
    clients = []
    for number in range(CLIENTS):
        client = Client(wire, 40001 + number)
        wire.clients[client.address[1]] = client
        if client.open() is None or client.request(b"first") is None:
            note(f"port {client.address[1]}: no flow before the disruption")
            return 2
        clients.append(client)
    leaving = max(endpoints, key=lambda endpoint: len(endpoint.taken))
    ours = [
        client
        for client in clients
        if any(address == client.address for _, address in leaving.taken)
    ]
    note(f"{len(ours)} flows at endpoint {leaving.host}")
    # Without the disruption it closes the flows all the same, as it may at any time.
    leaving.closes = True
    if TROUBLE:
        leaving.drain()
        if leaving.acknowledged_at is None:
            return 2
    drained_at = leaving.acknowledged_at or now()
    time.sleep(max(0.0, drained_at + 2.2 - now()))
    for client in ours:
        answer = client.request(b"second")
        note(f"port {client.address[1]}: {answer}, flow closed {client.is_closed}")
    time.sleep(max(0.0, drained_at + DRAIN_S + 0.4 - now()))
    for number in range(ROUNDS):
        for client in ours:
            if not client.is_closed:
                continue
            sent_at = client.open()
            data = b"again-%d" % number
            answer = client.request(data) if sent_at is not None else None
            note(f"port {client.address[1]}: opened again, {answer}")
        time.sleep(0.5)
    if TROUBLE:
        leaving.leave()
        for client in ours:
            answer = client.request(b"last") if client.open() is not None else None
            note(f"port {client.address[1]}: opened after its end, {answer}")
    late = [
        (sent_at, address)
        for sent_at, address in leaving.taken
        if TROUBLE and sent_at > drained_at + DRAIN_S
    ]
    for sent_at, address in late:
        note(
            f"BROKEN: DRAIN, endpoint {leaving.host} took an opening of port "
            f"{address[1]} {sent_at - drained_at:.3f} s after the acknowledgement"
        )
    return 1 if late else 0


def main():
    if not (ROOT / "target" / "deps").is_dir():
        note("target/deps is missing: run the build of the deploy file")
        return 2
    ports = find_ports()
    processes = []
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        try:
            for zone, host in zip(ZONES, CONTROLS, strict=True):
                start(folder, "control", host, zone, ports, processes)
            start(folder, "entry", ENTRY, "a", ports, processes)
            for host in SIDES:
                start(folder, "agent", host, "a", ports, processes)
            return play(ports)
        finally:
            for process in processes:
                process.kill()
            for process in processes:
                process.wait()


if __name__ == "__main__":
    try:
        code = main()
    except Exception as error:
        note(f"the case could not run: {error!r}")
        code = 2
    note(f"exit code {code}")
    record.close()
    sys.stdout.flush()
    os._exit(code)
