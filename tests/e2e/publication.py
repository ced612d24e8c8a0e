"""The configuration of test clusters, built with the operators' library."""

import sys

from processes import ROOT

sys.path.insert(0, str(ROOT / "packages" / "operators"))

from heatherfork_config import (  # noqa: E402
    Configuration,
    DecodeServer,
    Limits,
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
)

MODEL = "clerk"
SERVICE = "booking"
ZONE = "north"
TENANT_KEYS = {"depot": "key-of-the-depot", "gloves": "key-of-the-gloves"}

SUMMARY = WorkClass(name="summary", may_wait=True, deadline_ms=60_000, priority=1)
LOOKUP = WorkClass(name="lookup", deadline_ms=30_000, priority=5)
RESERVATION = WorkClass(name="reservation", must_not_repeat=True, deadline_ms=30_000, priority=9)
CLERK = Model(name=MODEL, version="1", default_class=SUMMARY)
BOOKING = Service(
    name=SERVICE,
    calls=(
        ServiceCall(name="reserve", work_class=RESERVATION),
        ServiceCall(name="lookup", work_class=LOOKUP),
    ),
)
# Short, so that a stopped node soon disappears from callers' entries.
ENTRIES_VALIDITY_MS = 1000


def engines(kind, name, processes):
    return tuple(
        kind(
            name=f"{name}-{n}",
            address=process.address,
            zone=ZONE,
            slots=20,
            pieces=200,
            checks_fencing=False,
        )
        for n, process in enumerate(processes)
    )


def replicas(processes):
    return tuple(
        PlainServer(name=f"booking-{n}", address=process.address, zone=ZONE, slots=50)
        for n, process in enumerate(processes)
    )


def configuration(prefill, decode, services):
    """Returns a configuration with one model pool and one plain service."""
    return Configuration(
        classes=(SUMMARY, LOOKUP, RESERVATION),
        models=(CLERK,),
        services=(BOOKING,),
        pools=(
            ModelPool(
                name=MODEL,
                model=CLERK,
                prefill=engines(PrefillServer, "prefill", prefill),
                decode=engines(DecodeServer, "decode", decode),
            ),
            ServicePool(name=SERVICE, service=BOOKING, servers=replicas(services)),
        ),
        tenants=tuple(
            Tenant(name=name, key_sha256=key_digest(key), max_in_flight=200)
            for name, key in TENANT_KEYS.items()
        ),
        limits=Limits(entries_validity_ms=ENTRIES_VALIDITY_MS),
    )
