"""Components of a VM that speak to the users' platform."""

from ..fleet_node import PlatformAdapter
from . import documents, headers
from .engines import EngineClient
from .store import PlatformStore


class Decoder:
    """Decodes the documents in the platform's metadata store."""

    configuration = staticmethod(documents.decode_configuration)
    backend = staticmethod(documents.decode_backend)
    evacuation = staticmethod(documents.decode_evacuation)


def build_platform(settings):
    """Return the `PlatformAdapter` for settings."""
    store = PlatformStore(settings.store_address)
    return PlatformAdapter(store, EngineClient(), Decoder, headers)
