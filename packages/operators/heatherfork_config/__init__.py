"""Defines heatherfork configurations and writes them for publication.

Build a :class:`Configuration` from the classes of this package, then call
:func:`write` and check the directory with ``heatherforkctl check``.
"""

from .configuration import Configuration, Documents
from .pools import DecodeServer, ModelPool, PlainServer, PrefillServer, ServicePool
from .publication import main, next_revision, write
from .rules import (
    Adapter,
    Limits,
    Model,
    NextVersion,
    Service,
    ServiceCall,
    Tenant,
    WorkClass,
    key_digest,
)

__all__ = [
    "Adapter",
    "Configuration",
    "DecodeServer",
    "Documents",
    "Limits",
    "Model",
    "ModelPool",
    "NextVersion",
    "PlainServer",
    "PrefillServer",
    "Service",
    "ServiceCall",
    "ServicePool",
    "Tenant",
    "WorkClass",
    "key_digest",
    "main",
    "next_revision",
    "write",
]
