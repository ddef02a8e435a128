"""DRAIN: a machine never hears that a server has left, and sends on to it."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'stand'))

import world as stand  # noqa: E402

SERVICE = 'intake'
ZONE = 'akl'
#: The figures of cube-register.
SLO_S = 0.25
DEADLINE_MS = 1000
TIMEOUT_S = 1.0
WORK_S = 0.078
#: When the path to the store is cut after SIGTERM of the other machine, and
#: for how long: as long as the site file has it.
CUT_AFTER_S = 2.0
CUT_S = 5.5
#: How long the server serves on after its entry was removed, as the site file
#: has it (``scale_in``, ``stay``).
STAY_S = 15.0
SEND_PERIOD_S = 1 / 70


async def restart(world, machine, on_ended):
    """Stops a machine as planned and starts it again."""
    await machine.stop()
    on_ended()
    await asyncio.sleep(0.5)
    await machine.start()
    await machine.wait_ready()


async def send_until(world, machine, end):
    """Sends a request 70 times a second; returns all results."""
    clients = [
        stand.Client(world, f'c{number}', machine) for number in range(60)
    ]
    tasks = []
    while world.record.now < end:
        client = clients[len(tasks) % len(clients)]
        tasks.append(
            asyncio.create_task(
                client.send('POST', '/puka111/2f', DEADLINE_MS, b'x' * 1200)
            )
        )
        await asyncio.sleep(SEND_PERIOD_S)
    results = await asyncio.gather(*tasks)
    for client in clients:
        client.close()
    return results


async def scenario(world, has_trouble):
    """Removes a server while one machine restarts and the other is cut off."""
    config = stand.new_config(SERVICE, 'unsafe', SLO_S, TIMEOUT_S)
    await world.start_store(config)
    await world.add_servers(SERVICE, ZONE, 5, WORK_S)
    await world.start_machines(ZONE, 2)
    restarted, cut = world.machines
    leaving = world.servers[0]
    await asyncio.sleep(stand.CONTACT_S + 1)
    removed_at = []

    def remove_entry():
        removed_at.append(world.record.now)
        world.store.put(f'servers/{leaving.identity}', None)

    restarting = asyncio.create_task(restart(world, restarted, remove_entry))
    await asyncio.sleep(CUT_AFTER_S)
    if has_trouble:
        world.record.add('cut_begins', machine=cut.name)
        world.links[1].cut()
    await asyncio.sleep(CUT_S)
    world.links[1].heal()
    healed_at = world.record.now
    world.record.add('cut_ends', machine=cut.name)
    await restarting
    # From here on the machine is in touch, and everything is calm.
    await asyncio.sleep(stand.CONTACT_S)
    in_touch_at = max(world.record.now, removed_at[0] + stand.DRAIN_S)
    exits_at = removed_at[0] + STAY_S
    if in_touch_at > exits_at - 2:
        raise stand.CannotRunError('the restart took too long')
    sending = asyncio.create_task(send_until(world, cut, exits_at + 1))
    await asyncio.sleep(exits_at - world.record.now)
    leaving.exit()
    results = await sending
    late = [
        request for moment, request in leaving.arrivals if moment > in_touch_at
    ]
    world.record.add(
        'late_requests',
        removed_at=f'{removed_at[0]:.3f}',
        healed_at=f'{healed_at:.3f}',
        in_touch_at=f'{in_touch_at:.3f}',
        requests=','.join(late) or 'none',
    )
    cut_off = [
        each.request
        for each in results
        if each.status != 200 and each.request in late
    ]
    world.record.add('not_served', requests=','.join(cut_off) or 'none')
    served = sum(each.status == 200 for each in results)
    sys.stdout.write(
        f'sent {len(results)}, answered 200: {served}, reached the server that'
        f' had left: {len(late)}, of these not served: {len(cut_off)}\n'
    )
    return bool(late)


if __name__ == '__main__':
    stand.run_case(scenario, FOLDER)
