"""The gateway processes: real programs that are started, stopped, paused and killed by their own process ids."""

import asyncio
import contextlib
import itertools
import os
import signal
import socket
import struct

from deployment import REGIONS, settings_text
from proxy import FaultProxy

RESTART_S = 0.4
READY_LIMIT_S = 20
NETLINK_SOCK_DIAG, SOCK_DIAG_BY_FAMILY, NETLINK_REQUEST = 4, 20, 1
INODE_OFFSET = 84  # Behind the heads of netlink and inet_diag, the ends and four counters.
PORT_NAMES = ("callers", "readiness", "entries", "relays", "metrics")


def hold_ports(count):
    """Returns sockets that keep ports from everyone but servers that bind with SO_REUSEADDR, as the program does."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        each.bind(("127.0.0.1", 0))
    return sockets


def socket_number(port, peer_port):
    """Returns the inode of the loopback connection with that port and peer, 0 if there is none; see sock_diag(7)."""
    loopback = socket.inet_aton("127.0.0.1")
    ends = struct.pack("!HH4s12x4s12x4x8s", port, peer_port, loopback, loopback, b"\xff" * 8)
    query = struct.pack("=BBBxI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0xFFFFFFFF) + ends
    head = struct.pack("=IHHII", 16 + len(query), SOCK_DIAG_BY_FAMILY, NETLINK_REQUEST, 0, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM, NETLINK_SOCK_DIAG) as link:
        link.send(head + query)
        reply = link.recv(4096)
    is_found = struct.unpack_from("=H", reply, 4)[0] == SOCK_DIAG_BY_FAMILY
    return struct.unpack_from("=I", reply, INODE_OFFSET)[0] if is_found else 0


def owner_of(port, peer_port, vms):
    """Returns the name of the VM whose process holds this end of a connection, or an empty text."""
    number = socket_number(port, peer_port)
    return next((vm.name for vm in vms if number and vm.is_up and f"socket:[{number}]" in vm.open_files()), "")


class Vm:
    def __init__(self, name, region, world):
        self.name, self.region, self.world = name, region, world
        self.held_ports = hold_ports(len(PORT_NAMES))
        self.ports = {name: held.getsockname()[1] for name, held in zip(PORT_NAMES, self.held_ports)}
        self.incarnation = 0
        self.process = None
        self.store = None
        self.is_wanted = False
        self.is_up = False
        self.expected_end = True
        self.extra_pause = 0.0  # Before the next start.

    async def start(self):
        if not self.store:
            self.store = await FaultProxy(self.world.store.port).start()
        domains = {region + "-a": region for region in REGIONS}
        if self.world.sabotage == "mix_regions":
            domains = dict(zip(domains, [REGIONS[-1], *REGIONS[:-1]]))
        text = settings_text(self.name, self.region, self.store.port, self.ports, self.world.vm_bounds, domains)
        settings = self.world.folder / f"{self.name}.toml"
        settings.write_text(text)
        self.is_wanted = True
        self.supervisor = asyncio.create_task(self._supervise(settings))

    async def _supervise(self, settings):
        """Runs the program, and again after each end, as the platform does."""
        down = None
        for self.incarnation in itertools.count(self.incarnation + 1):
            span = self.world.ledger.begin(self.name, "start")
            log = (self.world.folder / f"{self.name}.log").open("ab")
            self.process = await asyncio.create_subprocess_exec(
                str(self.world.binary), "gateway", f"--settings={settings}", stdout=log, stderr=log)
            log.close()
            self.expected_end = False
            self.is_up = True
            span.end = self.world.ledger.now()
            if down:
                down.end = span.end
            status = await self.process.wait()
            self.is_up = False
            down = self.world.ledger.begin(self.name, "end")
            if not self.expected_end:
                self.world.ledger.violate("exits", f"{self.name}: ended by itself with {status}")
            if not self.is_wanted:
                return
            pause, self.extra_pause = RESTART_S + self.extra_pause, 0.0
            await asyncio.sleep(pause)
            if not self.is_wanted:
                return

    def open_files(self):
        """Targets of the links in the process's folder of descriptors."""
        folder, targets = f"/proc/{self.process.pid}/fd", set()
        with contextlib.suppress(OSError):  # The process or a descriptor has gone meanwhile.
            for name in os.listdir(folder):
                with contextlib.suppress(OSError):
                    targets.add(os.readlink(f"{folder}/{name}"))
        return targets

    # ---- Signals. Each returns when the system has dealt with it.

    async def stop(self):
        """SIGTERM, and SIGKILL at the end of the grace."""
        if not self.is_up:
            return
        ledger, process = self.world.ledger, self.process
        span = ledger.begin(self.name, "stop")
        self.expected_end = True
        ledger.stops.append((self.name, self.incarnation, ledger.now()))
        process.send_signal(signal.SIGKILL if self.world.sabotage == "stop_at_once" else signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), self.world.bounds.stop_grace)
        except asyncio.TimeoutError:
            # One that was paused meanwhile had less time than the grace.
            if ledger.is_calm({self.name}, span.begin, ledger.now(), except_for=("stop", "reload")):
                ledger.violate("stops", f"{self.name}: still there at the end of the grace")
            process.kill()
        span.end = ledger.now()

    async def kill(self, extra_pause=0.0):
        if not self.is_up:
            return
        span = self.world.ledger.begin(self.name, "kill")
        self.expected_end = self.world.sabotage != "end_unasked"
        self.extra_pause = extra_pause
        self.process.kill()
        await self.process.wait()
        span.end = self.world.ledger.now()

    async def freeze(self, seconds):
        if not self.is_up:
            return
        subject = "nobody" if self.world.sabotage == "freeze_unseen" else self.name
        span, process = self.world.ledger.begin(subject, "freeze"), self.process
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
        span.end = self.world.ledger.now()

    async def reload(self):
        if self.is_up:
            self.world.ledger.note(self.name, "reload")
            self.process.send_signal(signal.SIGHUP)

    async def end(self):
        """Ends the process for good."""
        self.is_wanted = False
        self.expected_end = True
        if self.process and self.process.returncode is None:
            self.process.kill()
        await asyncio.gather(self.supervisor, return_exceptions=True)

    async def wait_until_ready(self):
        loop = asyncio.get_running_loop()
        end = loop.time() + READY_LIMIT_S
        while loop.time() < end:
            if await self.world.ask_readiness(self):
                return True
            await asyncio.sleep(0.1)
        return False
