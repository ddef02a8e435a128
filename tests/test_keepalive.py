"""Tests of the client of one address with a persistent connection."""

import asyncio
import time

from chervilstep.adapters.keepalive import KeepAliveClient
from tests.wire_builders import ANSWER, NOT_RUN, a_raw_upstream

TIMEOUT_SECONDS = 2


def test_bytes_that_arrive_before_the_request_are_not_its_answer():
    async def scenario():
        async with a_raw_upstream(ANSWER) as (server, upstream):
            client = KeepAliveClient(upstream.address, 4096)
            await client.get('/health', TIMEOUT_SECONDS)
            await server.write(NOT_RUN)
            # Leaves the bytes in the kernel: the loop does not run meanwhile.
            time.sleep(0.05)
            fetched = await client.get('/health', TIMEOUT_SECONDS)
            client.close()
        assert fetched.status == 200
        assert server.connections == 2

    asyncio.run(scenario())
