"""Tests of whole deployments of real processes on loopback."""

import asyncio
import signal

from lab.caller import Request
from lab.documents import (
    CUSTOMERS,
    new_document,
    section_values,
    without_keys,
)
from tests import process_builders
from tests.process_builders import a_deployment, wait_for_locator


def a_keyless_request(number):
    return Request(f'open-{number}', '', 'GET', f'/curing/{number}')


def a_keyed_request(number):
    return Request(
        f'keyed-{number}', 'fletcher', 'POST', f'/strike/{number}', b'cubes'
    )


def test_calls_reach_upstreams_once_and_return(tmp_path):
    async def scenario():
        async with a_deployment(tmp_path) as (deployment, caller):
            for number in range(20):
                outcome = await caller.send(a_keyless_request(number), 5, '')
                assert (outcome.status, outcome.reason) == (200, '')
            await wait_for_status(caller, 200)
            counts = await deployment.upstream_counts()
            runs = await deployment.runs()
            assert counts.total('keys_seen') == 0
            assert set(runs.values()) == {1}
            for process_id in entry_process_ids(deployment):
                assert process_builders.thread_count(process_id) == 1
                assert process_builders.child_process_ids(process_id) == []

    asyncio.run(scenario())


def test_revoked_key_is_rejected_on_an_open_connection(tmp_path):
    async def scenario():
        async with a_deployment(tmp_path, 1) as (deployment, caller):
            await wait_for_status(caller, 200)
            texts = new_document(deployment.topology, {}, '')
            revoked = without_keys(texts[CUSTOMERS], 'fletcher')
            await deployment.put_items(section_values({CUSTOMERS: revoked}))
            await wait_for_status(caller, 401)

    asyncio.run(scenario())


def test_planned_stop_leaves_the_locator_and_exits_cleanly(tmp_path):
    async def scenario():
        async with a_deployment(tmp_path) as (deployment, caller):
            leaving, _ = deployment.entries
            deployment.processes.send_signal(leaving.name, signal.SIGTERM)
            await wait_for_locator(caller, 1)
            assert leaving.address not in caller.addresses
            await process_builders.wait_until(
                lambda: leaving.name not in deployment.processes.ids
            )
            assert deployment.processes.exit_code(leaving.name) == 0

    asyncio.run(scenario())


async def wait_for_status(caller, status):
    """Sends requests with a key until one is answered with ``status``."""
    async with asyncio.timeout(process_builders.TIMEOUT_SECONDS):
        number = 0
        while True:
            outcome = await caller.send(a_keyed_request(number), 5)
            if outcome.status == status:
                return
            number += 1
            await asyncio.sleep(0.05)


def entry_process_ids(deployment):
    entry_names = {entry.name for entry in deployment.entries}
    return [
        process_id
        for name, process_id in deployment.processes.ids.items()
        if name in entry_names
    ]
