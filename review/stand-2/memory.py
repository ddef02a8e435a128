"""The platform's limit on the memory of a process, and callers meanwhile."""

import asyncio
import contextlib
import time

import standins

WATCH_SECONDS = 88
#: A binary megabyte is the more lenient reading of ``memoryMb``.
LIMIT_MB = standins.MEMORY_MB * 1.048576
RESTART_SECONDS = 0.5
POLL_SECONDS = 0.05
#: The rule counts machines whose processes end three times, two at least.
MAX_ENDS = 3
MIN_MACHINES = 2
RULES = (
    standins.rule('r-a', '/a/', 'safe', 'svc-a'),
    standins.rule('r-b', '/b/', 'unsafe', 'svc-b'),
)


class Watch:
    """Ends processes over their memory, as the platform does, and counts."""

    def __init__(self, record):
        """Creates a watch that has seen nothing."""
        self.record = record
        self.ends = {}
        self.peaks = {}
        self.lost = []
        self.answered = 0

    def is_over(self, machine):
        """Whether the process has ended or is over its memory."""
        if not machine.is_running:
            return True
        memory = machine.memory_mb()
        self.peaks[machine] = max(memory, self.peaks.get(machine, 0))
        return memory > LIMIT_MB

    async def follow(self, machine, attack, until):
        """Plays the attack on one machine until it has ended three times."""
        self.ends[machine] = 0
        while self.ends[machine] < MAX_ENDS and time.monotonic() < until:
            task = asyncio.create_task(repeat(attack, machine))
            while not self.is_over(machine) and time.monotonic() < until:
                await asyncio.sleep(POLL_SECONDS)
            if self.is_over(machine):
                await self.restart(machine)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def restart(self, machine):
        """Ends a process, and starts it after a short delay."""
        self.ends[machine] = self.ends.get(machine, 0) + 1
        code = machine.exit_code
        self.record.write(
            f'{machine.name} ends: {self.peaks[machine]:.0f} MB of'
            f' {standins.MEMORY_MB}, exit code before that {code}'
        )
        await machine.kill()
        await asyncio.sleep(RESTART_SECONDS)
        self.peaks[machine] = 0
        await machine.start()
        with contextlib.suppress(TimeoutError):
            await machine.wait_until_ready()

    def count_lost(self, deployment):
        """Returns how many requests were passed on and got no answer."""
        runs = {run[-1] for run in deployment.runs_of('svc-b')}
        lost = len(runs.intersection(self.lost))
        self.record.write(
            f'ordinary requests: {self.answered} answered, {len(self.lost)}'
            ' sent on kept connections that then closed without an answer, of'
            f' which {lost} have run'
        )
        return lost

    async def call_often(self, machine):
        """Is an ordinary caller on a kept connection."""
        while True:
            waiting = ''
            try:
                reader, writer = await standins.connect(machine.front)
                while True:
                    waiting = standins.new_id()
                    writer.write(
                        standins.encode('/b/x', 'POST', waiting, b'body')
                    )
                    await standins.read_answer(reader)
                    waiting = ''
                    self.answered += 1
                    await asyncio.sleep(POLL_SECONDS)
            except standins.CLOSED:
                self.lost.extend([waiting] if waiting else [])
                await asyncio.sleep(POLL_SECONDS)


async def repeat(attack, machine):
    """Plays the attack again and again."""
    while True:
        await attack(machine)
        await asyncio.sleep(POLL_SECONDS)


async def watch_deployment(folder, record, attack):
    """Returns whether the processes of a small deployment stay in their limit."""
    deployment = standins.Deployment(folder)
    watch = Watch(record)
    callers = []
    try:
        await deployment.start(standins.config(7, RULES))
        for machine in deployment.machines:
            record.write(f'{machine.name}: {machine.memory_mb():.0f} MB')
            callers.extend(
                asyncio.create_task(watch.call_often(machine)) for _ in range(4)
            )
        until = time.monotonic() + WATCH_SECONDS
        await asyncio.gather(
            *(
                watch.follow(machine, attack, until)
                for machine in deployment.machines
            )
        )
    finally:
        for caller in callers:
            caller.cancel()
        await deployment.stop()
    for machine in deployment.machines:
        record.write(
            f'{machine.name}: {watch.ends[machine]} ends, last peak'
            f' {watch.peaks.get(machine, 0):.0f} MB'
        )
    watch.count_lost(deployment)
    ended = [ends >= MAX_ENDS for ends in watch.ends.values()]
    return sum(ended) < MIN_MACHINES
