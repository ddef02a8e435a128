"""A client of the admin endpoints, for the command line."""

import asyncio
import json
from collections.abc import Mapping
from typing import Any, Final
from urllib.parse import urlencode

from tornado.httpclient import HTTPClientError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from chervilstep.adapters.streams import NumericResolver
from chervilstep.exceptions import OperatorError

REQUEST_TIMEOUT_SECONDS: Final = 5

#: A decoded JSON object.
JsonObject = Mapping[str, Any]


def fetch_all(
    addresses: tuple[str, ...], path: str, query: Mapping[str, str]
) -> dict[str, JsonObject]:
    """Fetches ``path`` from each admin address; returns the JSON by address.

    Raises:
        OperatorError: An instance cannot be reached or answers with an error.
    """
    return asyncio.run(_fetch_all(addresses, path, query))


async def _fetch_all(
    addresses: tuple[str, ...], path: str, query: Mapping[str, str]
) -> dict[str, JsonObject]:
    client = SimpleAsyncHTTPClient(
        force_instance=True, resolver=NumericResolver()
    )
    answers = await asyncio.gather(
        *(_fetch(client, address, path, query) for address in addresses)
    )
    client.close()
    return dict(zip(addresses, answers, strict=True))


async def _fetch(
    client: SimpleAsyncHTTPClient,
    address: str,
    path: str,
    query: Mapping[str, str],
) -> JsonObject:
    url = f'http://{address}{path}?{urlencode(query)}'
    try:
        response = await client.fetch(
            url, request_timeout=REQUEST_TIMEOUT_SECONDS
        )
    except (HTTPClientError, OSError) as error:
        raise OperatorError(f'{address}: {error}') from error
    decoded: JsonObject = json.loads(response.body)
    return decoded
