"""The ``explain`` subcommand, which shows how a request is decided."""

import sys

from chervilstep.adapters.adminclient import fetch_all
from chervilstep.cli.registry import SUBCOMMANDS


@SUBCOMMANDS.register('explain')
def explain(
    admin: str, path: str, *, method: str = 'GET', customer: str = ''
) -> int:
    """Explains where a request would be sent, or why it would be refused.

    :param admin: admin address (ip:port) of the instance to query
    :param path: path of the request
    :param method: HTTP method of the request
    :param customer: name of the customer whose key the request has
    """
    query = {'path': path, 'method': method, 'customer': customer}
    answer = fetch_all((admin,), '/explain', query)[admin]
    for step in answer['steps']:
        sys.stdout.write(f'{step}\n')
    sys.stdout.write(f'=> {answer["outcome"]}\n')
    return 0
