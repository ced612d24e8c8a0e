"""Example: configuration of a service on Java that matches lost gloves.

Run: python3 packages/operators/examples/java.py OUT_DIR
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from heatherfork_config import (  # noqa: E402
    Adapter,
    Configuration,
    DecodeServer,
    Limits,
    Model,
    ModelPool,
    NextVersion,
    PlainServer,
    PrefillServer,
    Service,
    ServiceCall,
    ServicePool,
    Tenant,
    WorkClass,
    key_digest,
    main,
)

ZONES = ("semarang", "solo", "yogya")

# Callers send a description again until it is answered, so it may wait.
MATCH = WorkClass(name="match", may_wait=True, deadline_ms=180_000, priority=30)
SUMMARY = WorkClass(name="summary", may_wait=True, deadline_ms=300_000, priority=20)
CLAIM = WorkClass(name="claim", must_not_repeat=True, deadline_ms=8_000, priority=90)
LOOKUP = WorkClass(name="lookup", deadline_ms=3_000, priority=70)

SUMMARY_MODEL = Model(
    name="summary",
    version="14",
    default_class=SUMMARY,
    next=NextVersion(version="15", share_percent=10),
)
MATCHING_MODEL = Model(
    name="matching",
    version="7",
    default_class=MATCH,
    adapters=(Adapter(name="left-hand"), Adapter(name="right-hand")),
)

BOARD = Service(
    name="board",
    calls=(
        ServiceCall(name="claim", work_class=CLAIM),
        ServiceCall(name="pickup", work_class=CLAIM),
        ServiceCall(name="listings", work_class=LOOKUP),
    ),
)


def prefill(pool: str, subnet: int, index: int) -> PrefillServer:
    """Returns a prefill engine; the zones are used in turn."""
    zone = index % len(ZONES)
    return PrefillServer(
        name=f"{pool}-prefill-{index}",
        address=f"10.{subnet}.{zone}.{10 + index}:8000",
        zone=ZONES[zone],
        slots=4,
        pieces=64,
        checks_fencing=False,
    )


def decode(pool: str, subnet: int, index: int) -> DecodeServer:
    """Returns a decode engine; the zones are used in turn."""
    zone = index % len(ZONES)
    return DecodeServer(
        name=f"{pool}-decode-{index}",
        address=f"10.{subnet}.{zone}.{30 + index}:8000",
        zone=ZONES[zone],
        slots=20,
        pieces=120,
        checks_fencing=True,
    )


def model_pool(model: Model, subnet: int) -> ModelPool:
    """Returns a pool of four prefill and six decode engines for one model."""
    return ModelPool(
        name=model.name,
        model=model,
        prefill=tuple(prefill(model.name, subnet, n) for n in range(4)),
        decode=tuple(decode(model.name, subnet, n) for n in range(6)),
        minimum_prefill=2,
        minimum_decode=3,
    )


def board_replica(index: int) -> PlainServer:
    """Returns the replica of the board service in one zone."""
    return PlainServer(
        name=f"board-{index}",
        address=f"10.4.{index}.60:8000",
        zone=ZONES[index],
        slots=50,
    )


def tenant(name: str, max_in_flight: int, weight: int) -> Tenant:
    """Returns a tenant with an example key.

    A real program holds only the digests of keys, never the keys.
    """
    return Tenant(
        name=name,
        key_sha256=key_digest(f"example-key-{name}"),
        max_in_flight=max_in_flight,
        weight=weight,
    )


CONFIGURATION = Configuration(
    classes=(MATCH, SUMMARY, CLAIM, LOOKUP),
    models=(SUMMARY_MODEL, MATCHING_MODEL),
    services=(BOARD,),
    pools=(
        model_pool(SUMMARY_MODEL, 2),
        model_pool(MATCHING_MODEL, 3),
        ServicePool(
            name="board",
            service=BOARD,
            servers=tuple(board_replica(n) for n in range(len(ZONES))),
        ),
    ),
    tenants=(
        tenant("members", max_in_flight=400, weight=4),
        tenant("finders", max_in_flight=200, weight=4),
        tenant("depots", max_in_flight=100, weight=2),
    ),
    # Callers may send a claim again within one hour.
    limits=Limits(record_retention_ms=3_600_000, max_queued=50_000),
)

if __name__ == "__main__":
    sys.exit(main(CONFIGURATION))
