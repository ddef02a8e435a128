"""LOST: a planned stop cuts requests that it took and passed on."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'stand'))

import world as stand  # noqa: E402

SERVICE = 'archiv'
ZONE = 'tt-a'
#: The figures of archive-pull: its objective, its deadline, and as its
#: time-out the deadline. Its work takes 0.55 s in the mean and 4.1 s at most.
SLO_S = 1.5
DEADLINE_MS = 4000
TIMEOUT_S = 4.0
WORK_S = 2.55
#: Clients send every 0.1 s from a second before the stop until 5 s after it.
SEND_PERIOD_S = 0.1
BEFORE_S = 1.0
AFTER_S = 5.0
#: Requests that were sent until then may be excused.
EXCUSED_UNTIL_S = 3.0


async def send_when_due(client, delay_s):
    """Sends one request after a delay, on a connection opened for it."""
    await asyncio.sleep(delay_s)
    return await client.send('GET', '/puka111/2f', DEADLINE_MS)


async def scenario(world, has_trouble):
    """Stops one of two machines while clients still use its address."""
    config = stand.new_config(SERVICE, 'safe', SLO_S, TIMEOUT_S)
    await world.start_store(config)
    await world.add_servers(SERVICE, ZONE, 14, WORK_S)
    await world.start_machines(ZONE, 2)
    await asyncio.sleep(stand.CONTACT_S + 1)
    machine = world.machines[0]
    # The clients get their address here. They keep the answer for 2 s, and
    # some of them for three times as long.
    _, answer = await stand.fetch(
        machine.address('directory'),
        f'/api/resolve?name={stand.HOST}&region=sk-west&zone={ZONE}',
    )
    if machine.address('front') not in answer['addresses']:
        raise stand.CannotRunError('the directory does not name the machine')
    kept_until = world.record.now + 3 * min(answer['ttlS'], 5)
    count = int((BEFORE_S + AFTER_S) / SEND_PERIOD_S)
    tasks = [
        asyncio.create_task(
            send_when_due(
                stand.Client(world, f'c{number}', machine),
                number * SEND_PERIOD_S,
            )
        )
        for number in range(count)
    ]
    await asyncio.sleep(BEFORE_S)
    stopped_at = world.record.now
    if has_trouble:
        machine.signal(signal.SIGTERM)
        ended = asyncio.create_task(machine.wait())
        await asyncio.sleep(stand.GRACE_S)
        if machine.process.returncode is None:
            machine.signal(signal.SIGKILL)
        await ended
    results = await asyncio.gather(*tasks)
    reached = {
        request: moment
        for server in world.servers
        for moment, request in server.arrivals
    }
    lost = []
    for result in results:
        sent = result.sent_at - stopped_at
        world.record.add(
            'result',
            request=result.request,
            sent_after_stop=f'{sent:.3f}',
            ended_after_stop=f'{result.ended_at - stopped_at:.3f}',
            passed_on=result.request in reached,
            status=result.status,
        )
        if (
            result.status == 'closed'
            and result.request in reached
            and sent > EXCUSED_UNTIL_S
            and result.sent_at < kept_until
        ):
            lost.append(result.request)
    # A machine that is not stopped has to answer everything.
    failed = [
        each.request
        for each in results
        if each.status in {'closed', 'late'} and not has_trouble
    ]
    world.record.add('lost', requests=','.join(lost) or 'none')
    served = sum(each.status == 200 for each in results)
    sys.stdout.write(
        f'sent {len(results)}, answered 200: {served}, passed on and cut'
        f' though sent later than 3 s after SIGTERM: {len(lost)}\n'
    )
    if not has_trouble and served < len(results):
        raise stand.CannotRunError(f'failed without trouble: {failed}')
    return bool(lost)


if __name__ == '__main__':
    stand.run_case(scenario, FOLDER)
