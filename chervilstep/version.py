"""The version of the package."""

from typing import Final

__version__: Final = '0.1.0'
