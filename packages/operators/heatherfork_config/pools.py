"""Backend servers and pools.

An address has the form ``IP:PORT``, such as ``10.0.0.1:8080``.
"""

from dataclasses import asdict, dataclass
from typing import Union

from .rules import Json, Model, Service


@dataclass(frozen=True, kw_only=True)
class PlainServer:
    """A backend server of a plain service.

    ``slots`` is the maximum number of concurrent requests. A server that is
    ``leaving`` gets no new work.
    """

    name: str
    address: str
    zone: str
    slots: int
    leaving: bool = False

    def to_json(self) -> Json:
        """Returns the server as an item of its pool."""
        return asdict(self)


@dataclass(frozen=True, kw_only=True)
class _Engine(PlainServer):
    """A model engine.

    ``pieces`` is its memory, in pieces of ``Limits.tokens_per_piece`` tokens.
    Set ``checks_fencing`` only if the engine refuses orders with an outdated
    fencing number.
    """

    pieces: int
    checks_fencing: bool


@dataclass(frozen=True, kw_only=True)
class PrefillServer(_Engine):
    """An engine that computes the KV cache of prompts."""

    def to_json(self) -> Json:
        """Returns the engine as an item of its pool."""
        return {**asdict(self), "role": "prefill"}


@dataclass(frozen=True, kw_only=True)
class DecodeServer(_Engine):
    """An engine that generates tokens."""

    def to_json(self) -> Json:
        """Returns the engine as an item of its pool."""
        return {**asdict(self), "role": "decode"}


@dataclass(frozen=True, kw_only=True)
class ModelPool:
    """Engines that serve one model.

    ``minimum_prefill`` and ``minimum_decode`` count servers that are not
    leaving.
    """

    name: str
    model: Model
    prefill: tuple[PrefillServer, ...]
    decode: tuple[DecodeServer, ...]
    minimum_prefill: int = 1
    minimum_decode: int = 1

    def to_json(self) -> Json:
        """Returns the part ``pool/NAME``."""
        return {
            "model": self.model.name,
            "minimum_prefill": self.minimum_prefill,
            "minimum_decode": self.minimum_decode,
            "servers": [it.to_json() for it in (*self.prefill, *self.decode)],
        }


@dataclass(frozen=True, kw_only=True)
class ServicePool:
    """Backend servers that serve one plain service."""

    name: str
    service: Service
    servers: tuple[PlainServer, ...]

    def to_json(self) -> Json:
        """Returns the part ``pool/NAME``."""
        return {
            "service": self.service.name,
            "servers": [it.to_json() for it in self.servers],
        }


Pool = Union[ModelPool, ServicePool]
