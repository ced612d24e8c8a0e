"""What must hold for the callers and replicas of a soak (soak.py)."""
import collections
import re

PROMISES = (408, 421, 429, 503)  # Not run, and never will be.
STABILITY_SECONDS = 3
LOSS_SLACK_SECONDS = 0.2
GRACE_SECONDS = 8
TAKES_SECONDS = 3  # After SIGTERM.
TIMEOUT_SECONDS = 4  # The shortest of the routes.


def check(soak):
    runs = collections.defaultdict(list)
    for run in soak.runs:
        runs[run.request_id].append(run)
    for attempt in soak.attempts:
        own = runs.pop(attempt.id, [])
        for text in check_attempt(soak, attempt, own):
            soak.violate(text, attempt)
    for request_id in runs:
        soak.violate("UNASKED: a replica ran %s" % request_id)


def check_attempt(soak, attempt, runs):
    repeats = attempt.kind in ("often", "resumable")
    if not repeats and len(runs) > 1:
        yield "TWICE: ran %d times" % len(runs)
    if not repeats and attempt.is_complete and attempt.status in PROMISES and runs:
        yield "REFUSED: answered %d and ran" % attempt.status
    for run in runs:
        if run.line != "POST %s HTTP/1.1" % attempt.path or run.request_body != attempt.body:
            yield "UNASKED: run %d got %r, %r" % (run.number, run.line, run.request_body)
    if attempt.status == 200:
        if attempt.fields.get("Response-Signature") != "sig." + attempt.id:
            yield "MIXED: signature %r" % attempt.fields.get("Response-Signature")
        if attempt.fields.get("Request-Id") != attempt.id:
            yield "MIXED: Request-Id %r" % attempt.fields.get("Request-Id")
        if attempt.kind in ("once", "often"):
            if attempt.is_complete and attempt.answer not in [run.answer for run in runs]:
                yield "MIXED: no run gave the answer %r" % attempt.answer[:80]
        else:
            yield from check_events(attempt, {run.number: run for run in runs})
    elif attempt.is_complete and "Response-Signature" in attempt.fields:
        if not (attempt.status == 500 and any(run.outcome == "failed" for run in runs)):
            yield "MIXED: signed %d" % attempt.status
    if attempt.is_complete and attempt.status in (400, 404, 413, 431):
        if not attempt.path.startswith("/v"):
            yield "DENIED: answered %d" % attempt.status
    if attempt.how.startswith("garbled"):
        yield "MIXED: the answer is none: %s" % attempt.how
    if attempt.how.startswith("closed") and attempt.sent:
        yield from check_loss(soak, attempt, runs)


def check_events(attempt, runs):
    events = attempt.answer.split(b"\n\n")
    if events.pop() != b"":
        yield "ORDER: part of an event at the end"
    number, run = attempt.first - 1, None
    for event in events:
        number += 1
        found = re.fullmatch(rb"id: (\d+)\ndata: \S+ run (\d+) piece \d+ of \d+", event)
        if not found or int(found[1]) != number or int(found[2]) not in runs:
            yield "ORDER: %r as event %d" % (event, number)
            return
        new = runs[int(found[2])]
        if event + b"\n\n" not in new.events:
            yield "MIXED: %r isn't what the replica sent" % event
        if new is not run and new.first != number:
            yield "ORDER: run %d is joined at event %d" % (new.number, number)
        if run and new is not run and attempt.kind != "resumable":
            yield "ORDER: two runs in one stream"
        run = new
    last = int(re.search(r"events=(\d+)", attempt.path)[1])
    if attempt.is_complete and number != last:
        yield "ORDER: complete with event %d of %d" % (number, last)


def check_loss(soak, attempt, runs):
    """A request that a node has read wholly gets a complete answer."""
    begin = attempt.started - STABILITY_SECONDS
    if any(span[0] <= attempt.ended and span[1] >= begin for span in soak.unplanned):
        return
    reached = any(each[1] == attempt.id for each in soak.notes)
    if not reached and attempt.ended - attempt.sent <= LOSS_SLACK_SECONDS:
        return
    if attempt.ended - attempt.started >= TIMEOUT_SECONDS:
        return
    for stop in soak.stops[attempt.node]:
        sixth = stop + GRACE_SECONDS * 5 / 6
        if stop <= attempt.ended <= stop + GRACE_SECONDS + 1:
            at_work = any(not run.ended or run.ended >= sixth for run in runs)
            if at_work and attempt.sent <= stop + TAKES_SECONDS:
                return
    yield "LOST: %s without a complete answer, status %d" % (attempt.how, attempt.status)


def report(soak):
    """Prints what was broken, with all that was seen of that request."""
    for text, attempt in soak.violations:
        print("VIOLATION seed=%d %s" % (soak.seed, text))
        if attempt:
            print_timeline(soak, attempt)
    results = collections.Counter(
        "%s %s" % (each.kind, each.status if each.is_complete else each.how.split(" (")[0])
        for each in soak.attempts)
    print("seed %d: %d nodes, %d requests, %d runs, %d violations; %s" % (
        soak.seed, len(soak.nodes), len(soak.attempts), len(soak.runs), len(soak.violations),
        ", ".join("%s: %d" % each for each in sorted(results.items()))), flush=True)
    return len(soak.violations)


def print_timeline(soak, attempt):
    print("  %s %s of %s at %s, first event %d: %s, status %d %s, %d bytes %r" % (
        attempt.id, attempt.kind, attempt.path, attempt.node.name, attempt.first, attempt.how,
        attempt.status, attempt.fields, len(attempt.answer), attempt.answer[-120:]))
    lines = [(attempt.started, "caller: starts")]
    if attempt.sent:
        lines.append((attempt.sent, "caller: has sent all"))
    lines.append((attempt.ended, "caller: " + attempt.how))
    begin, end = attempt.started - STABILITY_SECONDS, attempt.ended + 1
    for moment, request_id, text in soak.notes:
        if request_id == attempt.id or not request_id and begin <= moment <= end:
            lines.append((moment, text))
    for moment, text in sorted(lines):
        print("  %7.3f %s" % (moment - soak.began, text))
    for node in soak.nodes:
        for line in node.log().splitlines():
            if re.search(r"\b%s\b" % attempt.id, line):
                print("  log of %s: %s" % (node.name, line))
