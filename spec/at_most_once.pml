/*
 * At-most-once execution of a request that must not repeat.
 *
 * Models one key. The caller names node A in its first incarnation as the home;
 * B and C are other nodes. A message that has been sent stays in the network,
 * so the search covers every delay, reordering and duplicate. A node that takes
 * no step for a while models a pause, any later step its resumption. Each node
 * has its own clock for the validity of the key.
 */

#define NODES 3
#define A 0
#define B 1
#define C 2

/* State of the record at a node that may run the key. */
mtype = { none, accepted, sent, done, unknown, tombstone };

/* Result of the call to the backend server, as the node sees it. */
mtype = { no_reply, not_sent, broken, ok, crossed };

/* Guards. A mutant is compiled with one of the macros below, which disables it. */
#ifdef RESTART_KEEPS_HOME
#define KEEPS_HOME(n) mayRun[n]
#else
#define KEEPS_HOME(n) false
#endif
#ifdef RUN_EXPIRED
#define IS_EXPIRED(n) false
#else
#define IS_EXPIRED(n) expired[n]
#endif
#ifdef NO_WATERMARK
#define IS_BELOW_WATERMARK(n) false
#else
#define IS_BELOW_WATERMARK(n) belowWatermark[n]
#endif
#ifdef NO_TOMBSTONE
#define REFUSED none
#else
#define REFUSED tombstone
#endif
#ifdef DROP_EARLY
#define MAY_DROP(n) true
#else
#define MAY_DROP(n) expired[n]
#endif
#ifdef RUN_ELSEWHERE
#define MAY_RUN_ELSEWHERE(n) (record[n] == none)
#else
#define MAY_RUN_ELSEWHERE(n) false
#endif
#ifdef NOT_RUN_BY_FORWARDER
#define FORWARDER_MAY_ANSWER_NOT_RUN true
#else
#define FORWARDER_MAY_ANSWER_NOT_RUN false
#endif
#ifdef REUSED_CONNECTION
#define BROKEN_LOOKS_NOT_SENT true
#else
#define BROKEN_LOOKS_NOT_SENT false
#endif
#ifdef LIBRARY_RESENDS
#define SENT_AGAIN true
#else
#define SENT_AGAIN false
#endif
#ifdef RETRY_AFTER_BROKEN
#define AFTER_BROKEN accepted
#elif defined(NOT_RUN_AFTER_BROKEN)
#define AFTER_BROKEN tombstone
#else
#define AFTER_BROKEN unknown
#endif
#ifdef NO_ATTEMPT_CHECK
#define TAKES_OTHER_ANSWER true
#else
#define TAKES_OTHER_ANSWER false
#endif
#ifdef NO_FENCE
#define RUNS_AFTER_HAND_OVER true
#else
#define RUNS_AFTER_HAND_OVER false
#endif
#ifdef SENT_NOT_HANDED
#define SENT_IN_SNAPSHOT none
#else
#define SENT_IN_SNAPSHOT unknown
#endif
#ifdef SECOND_HAND_OVER
#define MAY_HAND_OVER_AGAIN true
#else
#define MAY_HAND_OVER_AGAIN false
#endif
#ifdef HAND_OVER_BY_NAME
#define IS_ADDRESSEE(n) true
#else
#define IS_ADDRESSEE(n) !restarted[n]
#endif
#ifdef HAND_OVER_OVERWRITES
#define IS_FIRST_HAND_OVER(n) true
#else
#define IS_FIRST_HAND_OVER(n) !tookOver[n]
#endif

#define IS_SETTLED(n) \
  (record[n] == done || record[n] == unknown || record[n] == tombstone)

#define OWN_RUN 1
#define OTHER_RUN 2

/* The caller and the network. Delivery does not remove a message in flight. */
bool requestInFlight[NODES]; /* the caller's request to the node */
bool forwardInFlight[NODES]; /* a forwarded request to the node */
bool notRunInFlight[NODES];  /* the answer "not run" to a forwarded request */
bool answerInFlight[NODES];  /* the answer with a body to the same request */
byte forwardedBody;          /* body of that answer */
bool callerExpired;          /* the caller no longer sends the key */

/* The nodes. */
bool restarted[NODES];      /* the node is in its second incarnation */
bool mayRun[NODES];         /* the node is the home or took over its records */
mtype record[NODES] = none;
byte body[NODES];           /* body of the answer when the record is done */
bool expired[NODES];        /* the key has expired by the node's clock */
bool belowWatermark[NODES]; /* the key had expired by A's clock at hand-over */

/* The open call from a node to the backend server. */
bool effectPending[NODES]; /* the effect has not been executed yet */
bool written[NODES];       /* bytes were written and the reply is awaited */
mtype reply[NODES] = no_reply;
bool callInFlight[NODES];  /* the backend server may still read the call */

/* Hand-over of A's records, addressed to an incarnation and never withdrawn. */
bool handOverInFlight[NODES];
mtype snapshotRecord = none;
byte snapshotBody;
bool snapshotExpired;
bool tookOver[NODES];

/* State that the assertions check. */
byte runs;
bool answeredNotRun;

inline answerNotRun() {
  assert(runs == 0);
  answeredNotRun = true
}

inline answerWithBody(aBody) {
  assert(aBody == OWN_RUN && runs == 1)
}

/* While the key is valid, the caller sends and resends it to any node. */
active proctype Caller() {
end:
  do
  :: atomic { !callerExpired && !requestInFlight[A] ->
      requestInFlight[A] = true
    }
  :: atomic { !callerExpired && !requestInFlight[B] ->
      requestInFlight[B] = true
    }
  :: atomic { !callerExpired && !requestInFlight[C] ->
      requestInFlight[C] = true
    }
  :: atomic { !callerExpired -> callerExpired = true }
  od
}

/* Clocks differ: the key expires at an independent time on each node. */
active proctype Clocks() {
end:
  do
  :: atomic { !expired[A] -> expired[A] = true }
  :: atomic { !expired[B] -> expired[B] = true }
  :: atomic { !expired[C] -> expired[C] = true }
  od
}

/* A node that may run the key admits or refuses the request. */
inline admit(n) {
  if
  :: IS_EXPIRED(n) -> skip          /* answers "key-expired", outcome unknown */
  :: IS_BELOW_WATERMARK(n) -> skip  /* the same, by the leaving node's clock */
  :: else ->
    if
    :: record[n] = accepted
    :: /* refused: limit, no backend server or deadline */
      record[n] = REFUSED;
      answerNotRun();
      notRunInFlight[B] = true;
      notRunInFlight[C] = true
    fi
  fi
}

/* Answers from a settled record; the answer also goes to forwarding nodes. */
inline answerFromRecord(n) {
  if
  :: record[n] == tombstone ->
    answerNotRun();
    notRunInFlight[B] = true;
    notRunInFlight[C] = true
  :: record[n] == done ->
    answerWithBody(body[n]);
    answerInFlight[B] = true;
    answerInFlight[C] = true;
    forwardedBody = body[n]
  :: else -> skip                /* waits, or answers "outcome unknown" */
  fi
}

inline handle(n) {
  if
  :: mayRun[n] && record[n] == none -> admit(n)
  :: mayRun[n] && record[n] != none -> answerFromRecord(n)
  :: !mayRun[n] ->
    /* A leaving node that is fenced still answers from settled records. */
    if
    :: record[n] != none -> answerFromRecord(n)
    :: else -> skip
    fi
  fi
}

inline forward(n) {
  if
  :: n != A -> forwardInFlight[A] = true
  :: n != B -> forwardInFlight[B] = true
  :: n != C -> forwardInFlight[C] = true
  :: MAY_RUN_ELSEWHERE(n) -> mayRun[n] = true; record[n] = accepted
  :: FORWARDER_MAY_ANSWER_NOT_RUN -> answerNotRun()
  fi
}

proctype Node(byte n) {
end:
  do
  /* Requests from the caller and from forwarding nodes. */
  :: atomic { requestInFlight[n] && mayRun[n] -> handle(n) }
  :: atomic { requestInFlight[n] && !mayRun[n] -> forward(n) }
  :: atomic { forwardInFlight[n] -> handle(n) }

  /* Answers from the home, relayed to the caller. */
  :: atomic { notRunInFlight[n] -> answerNotRun() }
  :: atomic { answerInFlight[n] -> answerWithBody(forwardedBody) }

  /* The deadline passes before the call is sent. */
  :: atomic { record[n] == accepted -> record[n] = tombstone }

  /* The reducer decides to send; from here on the request may run. */
  :: atomic { record[n] == accepted ->
      record[n] = sent;
      effectPending[n] = true
    }

  /* The effect is executed, possibly much later. */
  :: atomic { effectPending[n] ->
      effectPending[n] = false;
      reply[n] = not_sent
    }
  :: atomic { effectPending[n] ->
      effectPending[n] = false;
      written[n] = true;
      callInFlight[n] = true
    }
  :: atomic { written[n] -> written[n] = false; reply[n] = broken }
  :: atomic { written[n] && BROKEN_LOOKS_NOT_SENT ->
      written[n] = false;
      reply[n] = not_sent
    }

  /* The result of the call arrives. */
  :: atomic { record[n] == sent && reply[n] == not_sent ->
      reply[n] = no_reply;
      if
      :: record[n] = accepted
      :: record[n] = tombstone
      fi
    }
  :: atomic { record[n] == sent && reply[n] == broken ->
      reply[n] = no_reply;
      record[n] = AFTER_BROKEN
    }
  :: atomic { record[n] == sent && reply[n] == ok ->
      reply[n] = no_reply;
      record[n] = done;
      body[n] = OWN_RUN
    }
  /* The answer of another attempt arrives. */
  :: atomic { record[n] == sent && TAKES_OTHER_ANSWER ->
      record[n] = done;
      body[n] = OTHER_RUN
    }

  /* The deadline passes after the call is sent. */
  :: atomic { record[n] == sent && reply[n] == no_reply ->
      record[n] = unknown
    }

  /* Settled records are dropped when the key has expired. */
  :: atomic { IS_SETTLED(n) && MAY_DROP(n) ->
      record[n] = none;
      body[n] = 0
    }

  /* The hand-over arrives, possibly more than once. */
  :: atomic { handOverInFlight[n] && IS_ADDRESSEE(n) && IS_FIRST_HAND_OVER(n) ->
      tookOver[n] = true;
      mayRun[n] = true;
      record[n] = snapshotRecord;
      body[n] = snapshotBody;
      belowWatermark[n] = snapshotExpired
    }
  od
}

/* Snapshot of the record for A's successor. */
inline takeSnapshot() {
  snapshotExpired = expired[A];
  if
  :: record[A] == sent ->
    snapshotRecord = SENT_IN_SNAPSHOT
  :: record[A] == accepted ->
    record[A] = tombstone;
    snapshotRecord = tombstone
  :: else ->
    snapshotRecord = record[A];
    snapshotBody = body[A]
  fi
}

/* Planned stop of A. Fencing and the snapshot are one atomic step. */
active proctype PlannedStop() {
end:
  atomic { mayRun[A] && !restarted[A] ->
    mayRun[A] = RUNS_AFTER_HAND_OVER;
    takeSnapshot();
    if
    :: handOverInFlight[B] = true
    :: handOverInFlight[C] = true
    fi
  };
endRetry:
  /* Without acknowledgement, A hands over to another successor. */
  atomic { MAY_HAND_OVER_AGAIN && !restarted[A] ->
    if
    :: handOverInFlight[B] = true
    :: handOverInFlight[C] = true
    fi
  }
}

/* A killed node loses its state; calls already written stay in flight. */
inline kill(n) {
  restarted[n] = true;
  mayRun[n] = KEEPS_HOME(n);
  record[n] = none;
  body[n] = 0;
  belowWatermark[n] = false;
  effectPending[n] = false;
  written[n] = false;
  reply[n] = no_reply;
  notRunInFlight[n] = false;
  answerInFlight[n] = false;
  tookOver[n] = false
}

inline runCall(n) {
  callInFlight[n] = SENT_AGAIN;
  runs++;
  assert(runs <= 1);
  assert(!answeredNotRun);
  if
  :: written[n] -> written[n] = false; reply[n] = ok
  :: true -> skip                /* the answer is lost */
  fi
}

/* Each node may be killed once and restarts as a new incarnation. */
active proctype Kills() {
  byte n;
end:
  do
  :: atomic { !restarted[A] -> n = A; kill(n) }
  :: atomic { !restarted[B] -> n = B; kill(n) }
  :: atomic { !restarted[C] -> n = C; kill(n) }
  od
}

/* The backend server reads a call and runs it. */
active proctype Server() {
  byte n;
end:
  do
  :: atomic { callInFlight[A] -> n = A; runCall(n) }
  :: atomic { callInFlight[B] -> n = B; runCall(n) }
  :: atomic { callInFlight[C] -> n = C; runCall(n) }
  od
}

init {
  atomic {
    mayRun[A] = true;
    run Node(A);
    run Node(B);
    run Node(C)
  }
}
