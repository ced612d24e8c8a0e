"""Classes of work, models, services, tenants and limits.

Objects refer to each other by reference, so that a misspelt name raises an
error in the Python program. All times are in milliseconds.
"""

import hashlib
from dataclasses import asdict, dataclass
from typing import Any, Optional

Json = dict[str, Any]


@dataclass(frozen=True, kw_only=True)
class WorkClass:
    """Rules for one class of work.

    ``may_wait``: a request is queued rather than refused, and a second node
    keeps a copy until it is answered. ``must_not_repeat``: a request runs at
    most once. A class can't have both. ``priority`` is 0 to 100; requests of
    a higher priority are served first.
    """

    name: str
    deadline_ms: int
    priority: int
    may_wait: bool = False
    must_not_repeat: bool = False

    def to_json(self) -> Json:
        """Returns the class as an item of the part ``classes``."""
        return asdict(self)


@dataclass(frozen=True, kw_only=True)
class Adapter:
    """An adapter of a model that callers can request."""

    name: str


@dataclass(frozen=True, kw_only=True)
class NextVersion:
    """A model version that is being rolled out, and its share of the traffic."""

    version: str
    share_percent: int


@dataclass(frozen=True, kw_only=True)
class Model:
    """A model and its active version.

    ``default_class`` applies to requests that name no class. Its requests must
    be repeatable, because a completion whose engine failed runs again.
    """

    name: str
    version: str
    default_class: WorkClass
    adapters: tuple[Adapter, ...] = ()
    next: Optional[NextVersion] = None

    def to_json(self) -> Json:
        """Returns the model as an item of the part ``models``."""
        return {
            "name": self.name,
            "version": self.version,
            "adapters": [asdict(it) for it in self.adapters],
            "default_class": self.default_class.name,
            "next": asdict(self.next) if self.next else None,
        }


@dataclass(frozen=True, kw_only=True)
class ServiceCall:
    """A call of a plain service. The name is the last segment of its path."""

    name: str
    work_class: WorkClass

    def to_json(self) -> Json:
        """Returns the call as an item of its service."""
        return {"name": self.name, "class": self.work_class.name}


@dataclass(frozen=True, kw_only=True)
class Service:
    """A plain service and the calls that callers can request."""

    name: str
    calls: tuple[ServiceCall, ...]

    def to_json(self) -> Json:
        """Returns the service as an item of the part ``services``."""
        return {"name": self.name, "calls": [it.to_json() for it in self.calls]}


def key_digest(key: str) -> str:
    """Returns the SHA-256 digest of a tenant's key, as the configuration holds it."""
    return hashlib.sha256(key.encode()).hexdigest()


@dataclass(frozen=True, kw_only=True)
class Tenant:
    """A tenant, the digest of its key and its limits.

    ``max_in_flight`` limits the concurrent requests at each node. ``weight`` is
    the share of the tenant relative to the other tenants with queued work.
    """

    name: str
    key_sha256: str
    max_in_flight: int
    weight: int = 1

    def to_json(self) -> Json:
        """Returns the part ``tenant/NAME``."""
        document = asdict(self)
        del document["name"]
        return document


@dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits for the whole system.

    ``entries_validity_ms``: how long callers cache a list of entries.
    ``record_retention_ms``: how long the record of a request that must not
    repeat is kept after the answer. ``max_records`` and ``max_queued`` apply
    to each node. ``result_lifetime_ms``: how long a prefill engine keeps a
    result that has not been transferred. ``tokens_per_piece``: the number of
    tokens in a piece, the unit in which engine memory is allocated.
    ``weight_loads_at_once``: maximum number of concurrent loads from the weight
    store.
    """

    entries_validity_ms: int = 5000
    record_retention_ms: int = 600000
    max_records: int = 100000
    max_queued: int = 10000
    result_lifetime_ms: int = 800
    tokens_per_piece: int = 2000
    weight_loads_at_once: int = 2

    def to_json(self) -> Json:
        """Returns the part ``limits``."""
        return asdict(self)
