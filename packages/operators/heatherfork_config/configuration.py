"""The configuration and its published form."""

import hashlib
import json
from dataclasses import dataclass, field

from .pools import Pool
from .rules import Json, Limits, Model, Service, Tenant, WorkClass

MAX_DOCUMENT_BYTES = 1024 * 1024


def _encode(document: Json) -> bytes:
    """Encodes a document as compact JSON. Equal documents give equal bytes."""
    text = json.dumps(document, ensure_ascii=True, separators=(",", ":"))
    return text.encode("ascii") + b"\n"


def _require_size(name: str, data: bytes) -> None:
    if len(data) > MAX_DOCUMENT_BYTES:
        raise ValueError(
            f"{name}: expected at most {MAX_DOCUMENT_BYTES} bytes, "
            f"found {len(data)} bytes"
        )


@dataclass(frozen=True)
class Documents:
    """The encoded parts of a configuration by key, and the head that lists them."""

    parts: dict[str, bytes]

    def digests(self) -> dict[str, str]:
        """Returns the SHA-256 digest of each part by key."""
        return {
            key: hashlib.sha256(data).hexdigest() for key, data in self.parts.items()
        }

    def head(self, revision: int) -> bytes:
        """Returns the head of a revision.

        Raises ValueError if it exceeds the size limit of the platform.
        """
        data = _encode({"revision": revision, "parts": self.digests()})
        _require_size("head", data)
        return data


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """All settings that operators publish to the nodes."""

    classes: tuple[WorkClass, ...]
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    pools: tuple[Pool, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    limits: Limits = field(default_factory=Limits)

    def documents(self) -> Documents:
        """Returns the published form.

        Raises ValueError if two pools or two tenants have the same name, or if
        a part exceeds the size limit of the platform.
        """
        parts: dict[str, bytes] = {}
        for key, document in self._parts():
            if key in parts:
                raise ValueError(f"{key}: expected one part of this key, found two")
            parts[key] = _encode(document)
            _require_size(key, parts[key])
        return Documents(parts)

    def _parts(self) -> list[tuple[str, Json]]:
        return [
            ("classes", {"classes": [it.to_json() for it in self.classes]}),
            ("limits", self.limits.to_json()),
            ("models", {"models": [it.to_json() for it in self.models]}),
            ("services", {"services": [it.to_json() for it in self.services]}),
            *((f"pool/{it.name}", it.to_json()) for it in self.pools),
            *((f"tenant/{it.name}", it.to_json()) for it in self.tenants),
        ]
