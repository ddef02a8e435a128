"""Reads the settings file that the platform writes for each process."""

import os
import pathlib
import tomllib
from collections.abc import Mapping
from typing import Any, Final, TypeAlias

from chervilstep.allowances import PROBES_PER_SECOND, Allowances
from chervilstep.exceptions import SettingsError
from chervilstep.platform.addresses import PLATFORM_ADDRESSES, PlatformAddresses
from chervilstep.platform.dialect import PLATFORM_DIALECT
from chervilstep.platform.edge import PLATFORM_EDGE
from chervilstep.settings import (
    Limits,
    LocatorOptions,
    Profile,
    Settings,
    ShutdownTimeouts,
)
from chervilstep.shares import (
    DEFAULT_PROCESS_BYTES,
    DEFAULT_SOCKETS,
    Shares,
    new_shares,
)

#: The environment variable that holds the path of the file.
BOOT_FILE_VARIABLE: Final = 'CHERVILSTEP_BOOT'
#: Must match ``deploy/system.toml``; a usual port of Prometheus exporters.
METRICS_PORT: Final = 9464
#: The largest answer that is accepted from a server.
MAX_ANSWER_BYTES: Final = 64 * 1024 * 1024
MAX_HEAD_BYTES: Final = 64 * 1024
BYTES_PER_MB: Final = 10**6
#: The platform reserves these of the descriptors of a process for files.
FILE_DESCRIPTORS: Final = 200
#: Most clients stop using a stopped instance within this time, the others
#: within three times as long.
LOCATOR_TTL_SECONDS: Final = 2
#: Clients read at most this many addresses of an answer.
LOCATOR_MAX_ADDRESSES: Final = 64
#: With two, clients in the zone still have one when the other fails.
MIN_ZONE_INSTANCES: Final = 2
#: The fraction of the time between SIGTERM and SIGKILL in which an instance still
#: accepts connections.
LAME_DUCK_FRACTION: Final = 0.55
#: The time that remains before SIGKILL for answers on their way, messages to peers
#: and the end of the process.
CLOSE_SECONDS: Final = 0.3

#: Errors of a file that is missing, malformed or lacks a field.
READ_ERRORS: Final = (OSError, ValueError, LookupError, TypeError)

Table: TypeAlias = Mapping[str, Any]


def read_boot_file(path: str | None = None) -> Settings:
    """Reads the settings from ``path`` or the file named in the environment.

    Raises:
        SettingsError: The file is missing, malformed or lacks a field.
    """
    boot_path = path or os.environ.get(BOOT_FILE_VARIABLE, '')
    try:
        return _read_settings(boot_path)
    except READ_ERRORS as fault:
        raise SettingsError(
            f'cannot read the settings file {boot_path}: {fault!r}'
        ) from fault


def _read_settings(path: str) -> Settings:
    return _decode_settings(
        tomllib.loads(pathlib.Path(path).read_text('utf-8'))
    )


def _decode_settings(table: Table) -> Settings:
    addresses = table['bindAddrs']
    bounds = table['bounds']
    # An instance is named by its peer address: the seeds are addresses, and
    # the file has no other name for an instance.
    name = addresses['control']
    host = addresses['front'].rpartition(':')[0]
    platform_addresses = PlatformAddresses(
        addresses['directory'],
        addresses['readyAddr'],
        f'{host}:{METRICS_PORT}',
    )
    PLATFORM_ADDRESSES.put(name, platform_addresses)
    return Settings(
        name=name,
        zone=table['zone'],
        entry_address=addresses['front'],
        peer_address=name,
        admin_address='',
        configuration_source=f'store://{table["platform"]["address"]}',
        # Empty, since only machines of the platform can reach peers.
        peer_secret='',
        profile=Profile(
            limits=Limits(MAX_ANSWER_BYTES, MAX_HEAD_BYTES, _shares(table)),
            allowances=_decode_allowances(bounds),
            dialect=PLATFORM_DIALECT,
            edge=PLATFORM_EDGE,
            shutdown_timeouts=_shutdown_timeouts(bounds['graceS']),
            locator=LocatorOptions(
                LOCATOR_TTL_SECONDS, LOCATOR_MAX_ADDRESSES, MIN_ZONE_INSTANCES
            ),
        ),
        seeds={seed: seed for seed in table.get('seeds', ())},
    )


def _shares(table: Table) -> Shares:
    limits = table.get('limits', {})
    process_bytes = limits.get('memoryMb', 0) * BYTES_PER_MB
    sockets = limits.get('maxFds', 0) - FILE_DESCRIPTORS
    return new_shares(
        process_bytes or DEFAULT_PROCESS_BYTES,
        sockets if sockets > 0 else DEFAULT_SOCKETS,
    )


def _shutdown_timeouts(grace_seconds: float) -> ShutdownTimeouts:
    lame_duck_seconds = LAME_DUCK_FRACTION * grace_seconds
    drain_seconds = grace_seconds - CLOSE_SECONDS - lame_duck_seconds
    return ShutdownTimeouts(lame_duck_seconds, max(0, drain_seconds))


def _decode_allowances(bounds: Table) -> Allowances:
    return Allowances(
        rate_window_seconds=bounds['quotaWindowS'],
        rate_excess=bounds['quotaOverage'],
        rate_excess_calls=bounds['quotaSlack'],
        retry_ratio=bounds['retryRatio'],
        retry_reserve=bounds['retrySlack'],
        retry_window_seconds=bounds['retryWindowS'],
        cold_factor=bounds['coldOverage'],
        cold_extra=bounds['coldSlack'],
        # Deployments without health checks omit this bound.
        probes_per_second=bounds.get('probesPerS', PROBES_PER_SECOND),
    )
