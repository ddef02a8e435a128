"""Reads the processor time and memory of processes from /proc."""

import os
import pathlib
from collections.abc import Iterable, Mapping
from typing import Final, final

_TICKS_PER_SECOND: Final = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES: Final = os.sysconf('SC_PAGE_SIZE')
_MB: Final = 1024 * 1024
#: Fields of /proc/PID/stat after the process name.
_USER_TIME_FIELD: Final = 11
_SYSTEM_TIME_FIELD: Final = 12


@final
class ResourceUsage:
    """The processor time and memory of some processes at one instant."""

    __slots__ = ('_cpu_seconds', '_resident_mb')

    def __init__(
        self, cpu_seconds: Mapping[str, float], resident_mb: Mapping[str, float]
    ) -> None:
        """Creates the usage; both mappings are by process name."""
        self._cpu_seconds = dict(cpu_seconds)
        self._resident_mb = dict(resident_mb)

    @property
    def cpu_seconds(self) -> Mapping[str, float]:
        """The processor seconds since the start of each process."""
        return self._cpu_seconds

    @property
    def resident_mb(self) -> Mapping[str, float]:
        """The resident memory of each process in MiB."""
        return self._resident_mb


def read_usage(ids: Mapping[str, int], names: Iterable[str]) -> ResourceUsage:
    """Reads the usage of the named processes that are among ``ids``."""
    present = {name: ids[name] for name in names if name in ids}
    return ResourceUsage(
        {name: _cpu_seconds(pid) for name, pid in present.items()},
        {name: _resident_mb(pid) for name, pid in present.items()},
    )


def cpu_seconds_used(
    before: ResourceUsage, after: ResourceUsage
) -> dict[str, float]:
    """Returns the processor seconds of processes that are in both readings."""
    return {
        name: seconds - before.cpu_seconds[name]
        for name, seconds in after.cpu_seconds.items()
        if name in before.cpu_seconds
    }


def _cpu_seconds(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_SYSTEM_TIME_FIELD])
    return ticks / _TICKS_PER_SECOND


def _resident_mb(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/statm').read_text()
    return int(text.split()[1]) * _PAGE_BYTES / _MB
