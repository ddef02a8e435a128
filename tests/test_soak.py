"""A short soak of real processes, and tests of the links that inject faults.

docs/SOAK.md reports the long soaks.
"""

import asyncio
import contextlib
import random

import pytest

from lab.commands.soak_faults import SOAK_FAULTS
from lab.links import LINK_FAULTS, Link, clear_faults
from lab.soak import soak_once
from tests.process_builders import TIMEOUT_SECONDS
from tests.wire_builders import a_closed_port, a_raw_upstream

#: Pairs of a seed and the seconds to run: the short run of CI, and every seed
#: that has failed before.
#: 18: an instance that started while the text of the customers section was
#: invalid refused valid keys until a peer had sent the last valid text.
SEEDS = ((1, 5), (18, 8))
GET = b'GET / HTTP/1.1\r\n\r\n'


@pytest.mark.parametrize(('seed', 'seconds'), SEEDS)
def test_guarantees_hold_under_faults(seed, seconds, tmp_path):
    result = asyncio.run(soak_once(seed, seconds, tmp_path))
    assert result.has_passed, str(result)


def test_seed_determines_the_faults():
    one, other = random.Random(3), random.Random(3)
    assert one.choice(SOAK_FAULTS.names) == other.choice(SOAK_FAULTS.names)


async def fetch_over_link(link, seconds=0.5):
    """Returns the bytes received over a link; None after a timeout."""
    reader, writer = await asyncio.open_connection('127.0.0.1', link.port)
    try:
        writer.write(GET)
        async with asyncio.timeout(seconds):
            return await reader.read(100)
    except TimeoutError:
        return None
    finally:
        writer.transport.abort()


@pytest.mark.parametrize(
    ('fault', 'arrives', 'returns'),
    [
        ('delay', True, True),
        ('reset', True, True),
        ('silence', False, False),
        ('lose-answers', True, False),
        ('lose-requests', False, False),
    ],
)
def test_links_apply_faults_until_cleared(fault, arrives, returns):
    async def scenario():
        async with a_raw_upstream() as (server, upstream):
            port = int(upstream.address.rpartition(':')[2])
            link = Link(a_closed_port(), port)
            await link.open()
            assert await fetch_over_link(link)
            LINK_FAULTS.find(fault)(link)
            before = len(server.requests)
            assert bool(await fetch_over_link(link)) is returns
            assert (len(server.requests) > before) is arrives
            clear_faults(link)
            assert await fetch_over_link(link)
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await link.close()

    asyncio.run(scenario())


def test_open_connections_are_reset():
    async def scenario():
        async with a_raw_upstream() as (_, upstream):
            port = int(upstream.address.rpartition(':')[2])
            link = Link(a_closed_port(), port)
            await link.open()
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', link.port
            )
            writer.write(GET)
            assert await reader.read(100)
            link.reset()
            async with asyncio.timeout(TIMEOUT_SECONDS):
                with contextlib.suppress(ConnectionError):
                    assert not await reader.read(100)
            await link.close()

    asyncio.run(scenario())
