"""Example: configuration of a lantern hire service in Toruń.

Run: python3 packages/operators/examples/torun.py OUT_DIR
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from heatherfork_config import (  # noqa: E402
    Adapter,
    Configuration,
    DecodeServer,
    Model,
    ModelPool,
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

ZONES = ("stare-miasto", "podgorz", "bydgoskie")

# Callers prefer a late summary to a refused one, so it may wait.
SUMMARY = WorkClass(name="summary", may_wait=True, deadline_ms=120_000, priority=20)
NOTICE = WorkClass(name="notice", may_wait=True, deadline_ms=60_000, priority=30)
RESERVATION = WorkClass(
    name="reservation", must_not_repeat=True, deadline_ms=5_000, priority=90
)
LOOKUP = WorkClass(name="lookup", deadline_ms=2_000, priority=80)

CLERK = Model(
    name="clerk",
    version="2026-11",
    default_class=SUMMARY,
    adapters=(Adapter(name="hire-history"), Adapter(name="venue-safety")),
)

DESK = Service(
    name="booking-desk",
    calls=(
        ServiceCall(name="reserve", work_class=RESERVATION),
        ServiceCall(name="return", work_class=RESERVATION),
        ServiceCall(name="stock", work_class=LOOKUP),
    ),
)


def clerk_prefill(index: int) -> PrefillServer:
    """Returns a prefill engine. All of them check fencing numbers."""
    zone = index % len(ZONES)
    return PrefillServer(
        name=f"clerk-prefill-{index}",
        address=f"10.1.{zone}.{10 + index}:8000",
        zone=ZONES[zone],
        slots=4,
        pieces=64,
        checks_fencing=True,
    )


def clerk_decode(index: int) -> DecodeServer:
    """Returns a decode engine. The first three are old and ignore fencing numbers."""
    zone = index % len(ZONES)
    return DecodeServer(
        name=f"clerk-decode-{index}",
        address=f"10.1.{zone}.{30 + index}:8000",
        zone=ZONES[zone],
        slots=20,
        pieces=120,
        checks_fencing=index >= 3,
    )


def desk_replica(index: int) -> PlainServer:
    """Returns the replica of the booking service in one zone."""
    return PlainServer(
        name=f"desk-{index}",
        address=f"10.1.{index}.60:8000",
        zone=ZONES[index],
        slots=50,
    )


CONFIGURATION = Configuration(
    classes=(SUMMARY, NOTICE, RESERVATION, LOOKUP),
    models=(CLERK,),
    services=(DESK,),
    pools=(
        ModelPool(
            name="clerk",
            model=CLERK,
            prefill=tuple(clerk_prefill(n) for n in range(4)),
            decode=tuple(clerk_decode(n) for n in range(6)),
            minimum_prefill=2,
            minimum_decode=3,
        ),
        ServicePool(
            name="desk",
            service=DESK,
            servers=tuple(desk_replica(n) for n in range(len(ZONES))),
        ),
    ),
    # Example keys. A real program holds only the digests of keys, never the keys.
    tenants=(
        Tenant(
            name="dispatch",
            key_sha256=key_digest("example-key-dispatch"),
            max_in_flight=200,
            weight=2,
        ),
        Tenant(
            name="booking",
            key_sha256=key_digest("example-key-booking"),
            max_in_flight=100,
            weight=4,
        ),
        Tenant(
            name="festivals",
            key_sha256=key_digest("example-key-festivals"),
            max_in_flight=50,
        ),
    ),
)

if __name__ == "__main__":
    sys.exit(main(CONFIGURATION))
