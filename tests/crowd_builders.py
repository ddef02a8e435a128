"""Builders of programs with lowered limits, and of crowds that misuse them."""

import asyncio
import contextlib
import json
import os
import pathlib
import resource
import socket

from lab.processes import Processes, free_ports
from tests.platform_builders import (
    HOST,
    KEY,
    a_configuration,
    a_rule,
    a_server_entry,
    a_store,
)
from tests.wire_builders import AnsweringUpstream, request_id_of

MB = 10**6
#: Much longer than any step takes, so that only a program that hangs fails.
TIMEOUT_SECONDS = 20
#: How often an ordinary caller tries, as most clients do.
ATTEMPTS = 3
SAMPLE_SECONDS = 0.02
UPSTREAMS = 4
METRICS_PORT = 9464
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
LISTENING = '0A'
HEAD_LIMIT_BYTES = 16384
BODY_LIMIT_BYTES = 4 * 1024 * 1024
#: Longer than any test, so that the end of idle connections helps in none.
IDLE_SECONDS = 600
#: Of the descriptors of a process, the pages reserve these for files.
FILE_DESCRIPTORS = 200

BOOT_FILE = """
zone = "akl"
serves = ["front", "control", "directory"]
seeds = ["{control}"]
[bindAddrs]
front = "{front}"
readyAddr = "{ready}"
control = "{control}"
directory = "{directory}"
[limits]
memoryMb = {memory_mb}
maxFds = {descriptors}
[platform]
address = "{store}"
[bounds]
graceS = 6
quotaWindowS = 5
quotaOverage = 0.25
quotaSlack = 20
retryRatio = 0.2
retryWindowS = 10
retrySlack = 58
coldOverage = 1.5
coldSlack = 5
probesPerS = 60
"""

SETTINGS_FILE = """
name = "entry-1"
zone = "akl"
entry_address = "{front}"
peer_address = "{control}"
admin_address = "{ready}"
configuration_source = "file:{document}"
peer_secret = "secret"
body_limit_bytes = {body_limit_bytes}
"""

DOCUMENT = """
[zones]
akl = "in-service"
[services.strike]
slots = 100
{upstreams}
[routes.strike]
path = "/leny950/"
service = "strike"
methods = ["GET", "POST"]
open = true
timeout_ms = 4000
"""

DOCUMENT_UPSTREAM = """
[[services.strike.upstreams]]
name = "u-{port}"
address = "127.0.0.1:{port}"
zone = "akl"
"""


class SoundUpstream(AnsweringUpstream):
    """Answers every request that it has read to its end."""

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await reader.readexactly(content_length(head))
                writer.write(await self.answer(head))
                await writer.drain()

    async def answer(self, head):
        identity = request_id_of(head)
        return (
            b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Response-Stamp: s\r\n'
            b'X-Request-Id: ' + identity + b'\r\n\r\nok'
        )


def content_length(head):
    for line in head.split(b'\r\n'):
        if line.lower().startswith(b'content-length:'):
            return int(line.partition(b':')[2])
    return 0


class Program:
    """A running program, its addresses and what it has used at most."""

    def __init__(self, processes, host, ports):
        self._processes = processes
        self.host = host
        self.ports = ports
        self.peak_bytes = 0
        self.peak_sockets = 0

    @property
    def process_id(self):
        return self._processes.ids['program']

    @property
    def is_running(self):
        return 'program' in self._processes.ids

    @property
    def log_bytes(self):
        return sum(
            path.stat().st_size
            for path in self._processes._folder.glob('program.log')
        )

    @property
    def cpu_seconds(self):
        path = pathlib.Path(f'/proc/{self.process_id}/stat')
        fields = path.read_text().rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')

    def limit_descriptors(self, count):
        """Lowers the limit on descriptors of the process."""
        limits = (count, count)
        resource.prlimit(self.process_id, resource.RLIMIT_NOFILE, limits)

    def sample(self):
        """Adds the present use to the greatest one."""
        # The process may end between two of these reads.
        with contextlib.suppress(KeyError, OSError):
            resident = resident_bytes(self.process_id)
            used = resident + unread_bytes(self.host)
            self.peak_bytes = max(self.peak_bytes, used)
            sockets = socket_count(self.process_id)
            self.peak_sockets = max(self.peak_sockets, sockets)

    async def keep_sampling(self):
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_SECONDS)


def resident_bytes(process_id):
    text = pathlib.Path(f'/proc/{process_id}/statm').read_text()
    return int(text.split()[1]) * PAGE_BYTES


def unread_bytes(host):
    """Returns the bytes that the kernel holds for connections to ``host``."""
    local = socket.inet_aton(host)[::-1].hex().upper()
    total = 0
    for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
        _, address, _, state, queues, *_ = line.split()
        if address.startswith(local) and state != LISTENING:
            total += int(queues.partition(':')[2], 16)
    return total


def socket_count(process_id):
    """Returns the number of descriptors that are sockets or pipes."""
    count = 0
    for path in pathlib.Path(f'/proc/{process_id}/fd').iterdir():
        # A descriptor may be closed in the meantime.
        with contextlib.suppress(OSError):
            count += path.readlink().name.startswith(('socket:', 'pipe:'))
    return count


@contextlib.asynccontextmanager
async def a_program(kind, folder, **limits):
    """Runs one instance of ``kind`` with sound upstreams; yields it."""
    async with contextlib.AsyncExitStack() as stack:
        upstreams = [SoundUpstream() for _ in range(UPSTREAMS)]
        for upstream in upstreams:
            stack.push_async_callback(upstream.stop)
        upstream_ports = [await upstream.start() for upstream in upstreams]
        processes = stack.enter_context(Processes(pathlib.Path(folder)))
        start = PROGRAMS[kind]
        program = await start(
            stack, processes, pathlib.Path(folder), upstream_ports, limits
        )
        sampling = asyncio.create_task(program.keep_sampling())
        stack.callback(sampling.cancel)
        await wait_for_answer(program)
        yield program


async def start_platform(stack, processes, folder, upstream_ports, limits):
    """Starts the program of the deploy file beside a store."""
    store = await stack.enter_async_context(a_store())
    body_limit_bytes = limits.get('body_limit_bytes', BODY_LIMIT_BYTES)
    store.put('op/config', a_crowd_configuration(body_limit_bytes))
    for port in upstream_ports:
        store.put(f'servers/i-{port}', a_server_entry(port))
    host = a_free_host()
    names = ('front', 'ready', 'control', 'directory')
    ports = dict(zip(names, free_ports(4), strict=True))
    addresses = {name: f'{host}:{port}' for name, port in ports.items()}
    boot = folder / 'boot.toml'
    boot.write_text(
        BOOT_FILE.format(store=store.address, **addresses, **limits)
    )
    stack.enter_context(an_environment(CHERVILSTEP_BOOT=str(boot)))
    processes.start('program', 'chervilstep.platform')
    return Program(processes, host, {**ports, 'metrics': METRICS_PORT})


async def start_native(stack, processes, folder, upstream_ports, limits):
    """Starts ``chervilstep serve`` with a document in a file."""
    host = a_free_host()
    names = ('front', 'ready', 'control')
    ports = dict(zip(names, free_ports(3), strict=True))
    addresses = {name: f'{host}:{port}' for name, port in ports.items()}
    document = folder / 'document.toml'
    upstreams = ''.join(
        DOCUMENT_UPSTREAM.format(port=port) for port in upstream_ports
    )
    document.write_text(DOCUMENT.format(upstreams=upstreams))
    settings = folder / 'settings.toml'
    settings.write_text(
        SETTINGS_FILE.format(
            document=document, body_limit_bytes=BODY_LIMIT_BYTES, **addresses
        )
    )
    arguments = ('serve', '--settings', str(settings))
    processes.start('program', 'chervilstep', *arguments)
    program = Program(processes, host, {**ports, 'directory': ports['front']})
    program.limit_descriptors(limits['descriptors'])
    return program


#: How to start an instance, by the name of its front end.
PROGRAMS = {'platform': start_platform, 'native': start_native}


def a_crowd_configuration(body_limit_bytes):
    return a_configuration(
        limits={
            'maxHeaderBytes': HEAD_LIMIT_BYTES,
            'maxBodyBytes': body_limit_bytes,
            'headerTimeoutS': 3,
            'idleTimeoutS': IDLE_SECONDS,
        },
        listeners=[
            {
                'host': HOST,
                'ruleSet': [
                    a_rule(
                        kind='unsafe',
                        action={
                            'service': 'huvo11a',
                            'timeoutS': 4,
                            'maxAttempts': 2,
                        },
                    )
                ],
            }
        ],
        tenants=[
            {
                'name': 'cuka620',
                'apiKeys': [KEY],
                'priority': 1,
                'ratePerS': 5000,
                'burst': 5000,
            }
        ],
    )


def a_free_host():
    """Returns a loopback address whose port for metrics is free."""
    for number in range(1, 255):
        host = f'127.0.{(os.getpid() + number) % 254 + 1}.1'
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, METRICS_PORT))
            return host
    raise OSError('no free loopback address')


@contextlib.contextmanager
def an_environment(**variables):
    """Sets environment variables for the processes that are started."""
    os.environ.update(variables)
    try:
        yield
    finally:
        for name in variables:
            os.environ.pop(name)


def a_head(framing, target='/leny950/1', method='POST', key=KEY):
    return (
        f'{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Authorization: Bearer {key}\r\nX-Request-Id: r-1\r\n'
        f'X-Deadline-Ms: 4000\r\n{framing}\r\n\r\n'
    ).encode()


def a_sized_body(size, sent=None, key=KEY):
    """Returns a request with a body of which only a part is sent.

    By default, one byte is missing.
    """
    body = b'x' * (size - 1 if sent is None else sent)
    return a_head(f'Content-Length: {size}', key=key) + body


def a_chunked_body(chunk_bytes, count, ending=b''):
    """Returns a request with chunks that stop before the last one."""
    chunk = b'%x\r\n' % chunk_bytes + b'x' * chunk_bytes + b'\r\n'
    return a_head('Transfer-Encoding: chunked') + chunk * count + ending


def a_long_head(size):
    """Returns the head of a request without its end."""
    start = a_head('X-Long: ').rstrip(b'\r\n')
    return start + b'x' * (size - len(start))


def a_head_of_many_lines(size):
    """Returns a head of ``size`` bytes in short lines, without its end."""
    start = a_head('X: y')[:-2]
    return start + b'A: b\r\n' * ((size - len(start)) // 6)


class Member:
    """A caller that sends its bytes and then stays, without reading."""

    def __init__(self, host, port, sent):
        self._address = (host, port)
        self._sent = sent
        self._socket = socket.socket()
        self._socket.setblocking(False)

    async def run(self):
        loop = asyncio.get_running_loop()
        # The program may refuse such a caller or close its connection.
        with contextlib.suppress(OSError):
            await loop.sock_connect(self._socket, self._address)
            await loop.sock_sendall(self._socket, self._sent)

    def leave(self):
        self._socket.close()


class Crowd:
    """Callers that send at once and stay open."""

    def __init__(self, program, messages, address='front'):
        port = program.ports[address]
        self._members = [Member(program.host, port, sent) for sent in messages]
        self._tasks = []

    async def send(self, seconds):
        """Sends until all is sent, for ``seconds`` at most."""
        self._tasks = [
            asyncio.create_task(member.run()) for member in self._members
        ]
        await asyncio.wait(self._tasks, timeout=seconds)

    async def leave(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for member in self._members:
            member.leave()


async def ask(program, path='/leny950/1', address='front', body=b'x' * 800):
    """Sends one ordinary request; returns its status, or None without one."""
    sent = (
        a_head(f'Content-Length: {len(body)}', path) + body
        if body
        else a_head('X: y', path, 'GET')
    )
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await _exchange(program.host, program.ports[address], sent)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return None


async def ask_often(program, **request):
    """Sends a request as a client that tries again after a refusal."""
    status = None
    for _ in range(ATTEMPTS):
        status = await ask(program, **request)
        if status == 200:
            break
        await asyncio.sleep(0.5)
    return status


async def _exchange(host, port, sent):
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(sent)
        head = await reader.readuntil(b'\r\n\r\n')
        await reader.readexactly(content_length(head))
        return int(head.split(b' ')[1])
    finally:
        writer.transport.abort()


async def wait_for_answer(program):
    """Waits until the program serves ordinary callers."""
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while await ask(program) != 200:
            await asyncio.sleep(0.1)


def as_json(program):
    """Returns what a test has measured, for its message."""
    return json.dumps(
        {
            'megabytes': round(program.peak_bytes / MB, 1),
            'sockets': program.peak_sockets,
        }
    )
