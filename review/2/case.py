"""CONFIG: one entry of another writer makes machines stop answering."""

import asyncio
import contextlib
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'stand'))

import world as stand  # noqa: E402

ZONE = 'akl'
SERVICE = 'curing'
#: The figures of curing-query, and the queue of its servers.
SLO_S = 0.4
TIMEOUT_S = 0.8
DEADLINE_MS = 1500
WORK_S = 0.15
QUEUE = 6
SERVERS = 4
MACHINES = 3
#: The four servers can run 80 requests a second.
SEND_PERIOD_S = 1 / 30
#: All servers shed some of their requests for a while (the site file has
#: ``srv_grey``, ``shed all`` with x = 0.55 for 8.5 s).
SHED_SHARE = 0.4
SHED_AFTER_S = 5.0
SHED_S = 6.5
LENGTH_S = 16.0
CLIENTS = 300
#: The entry is written before that and stays as long as that of a silent
#: server: three heartbeats.
WRITTEN_AFTER_S = 3.5
STAYS_S = 4.5
#: A number of slots as text; an entry has it as a number.
SLOTS = '1000000000'
#: What the rule allows beyond the route's timeoutS, and how many.
LATE_S = 0.5
MIN_LATE = 8
MAX_SHARE = 0.25


async def send_until(world, begin):
    """Sends requests to all machines in turn; returns all results."""
    clients = [
        stand.Client(world, f'c{number}x', world.machines[number % MACHINES])
        for number in range(CLIENTS)
    ]
    tasks = []
    while world.record.now < begin + LENGTH_S:
        client = clients[len(tasks) % CLIENTS]
        tasks.append(
            asyncio.create_task(client.send('GET', '/puka111/2f', DEADLINE_MS))
        )
        await asyncio.sleep(SEND_PERIOD_S)
    results = await asyncio.gather(*tasks)
    for client in clients:
        client.close()
    return results


async def shed(world):
    """Lets the servers shed some of their requests for a while."""
    await asyncio.sleep(SHED_AFTER_S)
    for share in (SHED_SHARE, 0):
        world.record.add('servers_shed', share=share)
        for server in world.servers:
            server.shed_share = share
        await asyncio.sleep(SHED_S)


async def watch_readiness(world, machine, silent):
    """Asks a machine each second whether it is ready, as the platform does."""
    while True:
        try:
            await stand.fetch(machine.address('ready'), '/api/readiness')
        except (OSError, asyncio.IncompleteReadError):
            silent[machine.name] += 1
            world.record.add('no_readiness', machine=machine.name)
        await asyncio.sleep(1)


async def scenario(world, has_trouble):
    """Has another writer write one entry whose slots have another type."""
    config = stand.new_config(SERVICE, 'safe', SLO_S, TIMEOUT_S)
    await world.start_store(config)
    await world.add_servers(SERVICE, ZONE, SERVERS, WORK_S, QUEUE)
    await world.start_machines(ZONE, MACHINES)
    await asyncio.sleep(stand.CONTACT_S + 1)
    begin = world.record.now
    silent = dict.fromkeys((each.name for each in world.machines), 0)
    watches = [
        asyncio.create_task(watch_readiness(world, machine, silent))
        for machine in world.machines
    ]
    shedding = asyncio.create_task(shed(world))
    sending = asyncio.create_task(send_until(world, begin))
    await asyncio.sleep(WRITTEN_AFTER_S)
    if has_trouble:
        entry = world.servers[0].entry()
        entry['info']['slots'] = SLOTS
        world.store.put('servers/i-f00000', entry)
    await asyncio.sleep(STAYS_S)
    if has_trouble:
        world.store.put('servers/i-f00000', None)
    results = await sending
    shedding.cancel()
    for watch in watches:
        watch.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watch
    memory = [round(machine.resident_mb()) for machine in world.machines]
    lasting = [
        each
        for each in results
        if each.status == 'late' or each.ended_at - each.sent_at > TIMEOUT_S
    ]
    late = [
        each.request
        for each in lasting
        if each.ended_at - each.sent_at > TIMEOUT_S + LATE_S
    ]
    world.record.add('no_answer', requests=','.join(late) or 'none')
    world.record.add('machines', silent_s=silent, memory_mb=memory)
    served = sum(each.status == 200 for each in results)
    sys.stdout.write(
        f'sent {len(results)}, answered 200: {served}; lasted longer than'
        f' timeoutS: {len(lasting)}, no answer 0.5 s after it: {len(late)};'
        f' seconds without readiness by machine: {list(silent.values())};'
        f' MB at the end: {memory}\n'
    )
    return len(late) >= MIN_LATE and len(late) > MAX_SHARE * len(lasting)


if __name__ == '__main__':
    stand.run_case(scenario, FOLDER)
