/*
 * Takeover of repeatable requests, fenced by an acknowledged cancellation.
 *
 * A caller sends a request to node X. It may close this exchange and send the
 * request to node Z instead. Z forwards it to X, or takes over when it
 * considers X dead, rightly or not. X makes attempt 1 and possibly attempt 3; Z
 * makes attempt 2. X may be killed at any time, or pause once and resume late
 * with an unsent answer. Z is the node that cancels the range of X's attempts.
 *
 * Without a pause of X, an answer that a slow network delays past the fence
 * only reaches an exchange that the caller has closed.
 */

#define LAST 2        /* tokens of a complete answer */
#define ATTEMPTS 4    /* attempts 1, 2 and 3 */
#define NOWHERE 0
#define AT_X 1
#define AT_Z 2

/* Guards. A mutant is compiled with one of the macros below, which disables it. */
#ifdef NO_ENGINE_TOMBSTONE
#define CANCELLED_BEFORE_START absent
#else
#define CANCELLED_BEFORE_START refused
#endif
#ifdef NO_CANCEL_RETRY
#define KEPT_AFTER_LOSS false
#else
#define KEPT_AFTER_LOSS true
#endif
#ifdef NO_ACK_WAIT
#define IS_FENCED true
#else
#define IS_FENCED rangeAcknowledged
#endif
#ifdef NO_PAUSE_CHECK
#define MUST_DROP_AFTER_PAUSE false
#else
#define MUST_DROP_AFTER_PAUSE (pauseNoticed && zTookOver)
#endif
#ifdef LATE_FORWARD_ANSWER
#define TAKES_FORWARD_ANSWER true
#else
#define TAKES_FORWARD_ANSWER forwardOpen
#endif
#ifdef RESTART_AFTER_FIRST_TOKEN
#define MAY_RESTART true
#else
#define MAY_RESTART (xRead == 0)
#endif
#ifdef RESUME_FROM_START
#define RESUME_OFFSET 0
#else
#define RESUME_OFFSET xRead
#endif
#ifdef NO_ATTEMPT_CHECK
#define TAKES_OLD_TOKENS true
#else
#define TAKES_OLD_TOKENS false
#endif
#ifdef CANCEL_LAST_ONLY
#define IN_RANGE(a) (a == xAttempt)
#else
#define IN_RANGE(a) true
#endif
#ifdef NO_CANCEL_WHEN_GONE
#define CANCELS_WHEN_GONE false
#else
#define CANCELS_WHEN_GONE true
#endif
#ifdef NO_RANGE_CANCEL
#define RANGE_IS_CANCELLED false
#else
#define RANGE_IS_CANCELLED true
#endif
#ifdef NO_CANCEL_BEFORE_RETRY
#define CANCELS_BEFORE_RETRY false
#else
#define CANCELS_BEFORE_RETRY true
#endif
#ifdef TRUNCATED_IS_WHOLE
#define IS_WHOLE(a) true
#else
#define IS_WHOLE(a) endSent[a]
#endif

/* State of an attempt at the engine. */
mtype = { absent, held, completed, refused };

/* State of the request at a node. */
mtype = { idle, running, finished, dead };

/* The engine and the messages in flight to and from it. */
mtype engine[ATTEMPTS] = absent;
bool startInFlight[ATTEMPTS];
byte emitted[ATTEMPTS];    /* offset of the next token that the engine sends */
byte unread[ATTEMPTS];     /* tokens in the owner's socket buffer */
bool endSent[ATTEMPTS];    /* the end of stream is in the same buffer */
bool connected[ATTEMPTS];
bool cancelOpen[ATTEMPTS]; /* a cancellation to repeat until acknowledged */
bool rangeOpen;            /* the same for the range of X's attempts */
bool rangeAcknowledged;
byte remainingLosses = 1;  /* cancellations that the network may still lose */

/* The caller has one exchange at a time. */
byte callerAt = AT_X;
byte received;     /* tokens received on the exchange */
byte receivedFrom; /* attempt that generated them */
bool answered;

/* Node X. */
mtype xPhase = idle;
byte xAttempt = 1;
byte xRead;
bool xFrozen;
bool pauseNoticed;
bool mayBeKilled;
bool xResumed;
bool forwardInFlight;
bool xHasForward;

/* Node Z. */
mtype zPhase = idle;
byte zRead;
bool forwardOpen;
bool forwardAnswerInFlight;
bool mayMisjudgeDead; /* Z may consider a live X dead */
bool zTookOver;

inline deliverToken(exchange, a, offset) {
  if
  :: callerAt == exchange ->
    assert(!answered);
    assert(offset == received);
    assert(received == 0 || receivedFrom == a);
    received++;
    receivedFrom = a
  :: else -> skip
  fi
}

/* Completes the answer. `streamed`: its tokens were delivered before. */
inline deliverEnd(exchange, a, streamed) {
  if
  :: callerAt == exchange ->
    assert(!answered);
    assert(!streamed || (received == LAST && receivedFrom == a));
    assert(streamed || received == 0);
    answered = true
  :: else -> skip
  fi
}

inline deliverError(exchange) {
  if
  :: callerAt == exchange -> assert(!answered); answered = true
  :: else -> skip
  fi
}

/* The owner stops reading the attempt's stream. Resetting the stream state
 * keeps the state space small. */
inline dropStream(a) {
  connected[a] = false;
  unread[a] = 0;
  endSent[a] = false;
  emitted[a] = 0
}

active proctype Caller() {
end:
  do
  :: atomic { callerAt == AT_X && !answered ->
      callerAt = AT_Z;
      received = 0;
      receivedFrom = 0
    }
  :: atomic { callerAt != NOWHERE && !answered ->
      callerAt = NOWHERE;
      received = 0;
      receivedFrom = 0
    }
  od
}

#define IS_READ(a) \
  ((a == 2 && zPhase == running) || (a == xAttempt && xPhase == running))

inline startArrives(a) {
  startInFlight[a] = false;
  if
  :: engine[a] == absent ->
    engine[a] = held;
    connected[a] = IS_READ(a);
    /* Two nodes never hold engine memory for the same request. */
    assert(a == 2 || engine[2] != held);
    assert(a != 2 || (engine[1] != held && engine[3] != held))
  :: else -> skip
  fi
}

inline cancelArrives(a) {
  if
  :: engine[a] == absent -> engine[a] = CANCELLED_BEFORE_START
  :: engine[a] == held -> engine[a] = refused
  :: else -> skip
  fi;
  /* Data already in the owner's socket buffer stays there. */
  connected[a] = false
}

proctype EngineAttempt(byte a) {
end:
  do
  :: atomic { startInFlight[a] -> startArrives(a) }
  :: atomic { engine[a] == held && connected[a] && emitted[a] < LAST ->
      emitted[a]++;
      unread[a]++
    }
  :: atomic { engine[a] == held && connected[a] && emitted[a] == LAST &&
      !endSent[a] -> endSent[a] = true
    }
  :: atomic { cancelOpen[a] && !(a != 2 && (xFrozen || xPhase == dead)) ->
      if
      :: cancelOpen[a] = false; cancelArrives(a)
      :: remainingLosses > 0 ->
        remainingLosses--;
        cancelOpen[a] = KEPT_AFTER_LOSS
      fi
    }
  od
}

active proctype RangeCancel() {
end:
  do
  :: atomic { rangeOpen ->
      if
      :: rangeOpen = false;
        rangeAcknowledged = true;
        if
        :: RANGE_IS_CANCELLED && IN_RANGE(1) -> cancelArrives(1)
        :: else -> skip
        fi;
        if
        :: RANGE_IS_CANCELLED && IN_RANGE(3) -> cancelArrives(3)
        :: else -> skip
        fi
      :: remainingLosses > 0 ->
        remainingLosses--;
        rangeOpen = KEPT_AFTER_LOSS
      fi
    }
  od
}

#define X_AWAKE (!xFrozen && xPhase != dead)
#define X_RUNS (!xFrozen && xPhase == running)

inline xStart(a) {
  xAttempt = a;
  xRead = 0;
  xResumed = false;
  startInFlight[a] = true;
  xPhase = running
}

inline xFinish() {
  engine[xAttempt] = (engine[xAttempt] == held -> completed : engine[xAttempt]);
  dropStream(xAttempt);
  xPhase = finished;
  if
  :: MUST_DROP_AFTER_PAUSE -> skip
  :: else ->
    /* A node must not complete a request taken over during its pause. */
    assert(!(pauseNoticed && zTookOver));
    deliverEnd(AT_X, xAttempt, true);
    forwardAnswerInFlight = xHasForward
  fi
}

/* The stream broke or a step timed out. */
inline xBroken() {
  unread[xAttempt] = (TAKES_OLD_TOKENS -> unread[xAttempt] : 0);
  endSent[xAttempt] = false;
  connected[xAttempt] = false;
  if
  :: engine[xAttempt] == held && !xResumed ->
    xResumed = true;
    connected[xAttempt] = true;
    emitted[xAttempt] = RESUME_OFFSET;
    unread[xAttempt] = 0
  :: true ->
    cancelOpen[xAttempt] = CANCELS_BEFORE_RETRY;
    if
    :: xAttempt == 1 && MAY_RESTART -> xStart(3)
    :: !(xAttempt == 1 && MAY_RESTART) ->
      xPhase = finished;
      deliverError(AT_X)
    fi
  fi
}

active proctype NodeX() {
end:
  do
  :: atomic { X_AWAKE && xPhase == idle && callerAt == AT_X -> xStart(1) }
  :: atomic { X_RUNS && forwardInFlight ->
      forwardInFlight = false;
      xHasForward = true
    }
  :: atomic { X_RUNS && unread[xAttempt] > 0 ->
      unread[xAttempt]--;
      deliverToken(AT_X, xAttempt, xRead);
      xRead++
    }
  :: atomic { X_RUNS && xAttempt == 3 && unread[1] > 0 && TAKES_OLD_TOKENS ->
      unread[1]--;
      deliverToken(AT_X, 1, xRead);
      xRead++
    }
  :: atomic { X_RUNS && unread[xAttempt] == 0 && xRead > 0 &&
      IS_WHOLE(xAttempt) -> xFinish()
    }
  :: atomic { X_RUNS && !endSent[xAttempt] -> xBroken() }
  /* No caller or forwarding node waits for the answer. */
  :: atomic { X_RUNS && callerAt != AT_X && !xHasForward ->
      xPhase = finished;
      dropStream(xAttempt);
      cancelOpen[xAttempt] = CANCELS_WHEN_GONE
    }
  od
}

/* X pauses at most once and may be killed at any time. */
active proctype FaultsOfX() {
end:
  do
  :: atomic { !pauseNoticed && !xFrozen && xPhase != dead -> xFrozen = true }
  :: atomic { xFrozen && xPhase != dead ->
      xFrozen = false;
      pauseNoticed = true
    }
  :: atomic { mayBeKilled && xPhase != dead ->
      xPhase = dead;
      xRead = 0;
      dropStream(1);
      dropStream(3)
    }
  od
}

active proctype NodeZ() {
end:
  do
  :: atomic { callerAt == AT_Z && zPhase == idle && !forwardOpen &&
      !zTookOver && !answered ->
      forwardOpen = true;
      forwardInFlight = true
    }
  :: atomic { forwardAnswerInFlight ->
      forwardAnswerInFlight = false;
      if
      :: TAKES_FORWARD_ANSWER ->
        forwardOpen = false;
        zPhase = (zPhase == idle -> finished : zPhase);
        deliverEnd(AT_Z, 1, false)
      :: else -> skip
      fi
    }
  /* Z considers X dead, rightly or not. */
  :: atomic { (mayMisjudgeDead || xPhase == dead) && !rangeOpen &&
      !rangeAcknowledged -> rangeOpen = true
    }
  :: atomic { (rangeOpen || rangeAcknowledged) && IS_FENCED &&
      callerAt == AT_Z && zPhase == idle && !answered ->
      forwardOpen = false;
      zTookOver = true;
      zPhase = running;
      startInFlight[2] = true
    }
  :: atomic { zPhase == running && unread[2] > 0 ->
      unread[2]--;
      deliverToken(AT_Z, 2, zRead);
      zRead++
    }
  :: atomic { zPhase == running && endSent[2] && unread[2] == 0 ->
      engine[2] = completed;
      dropStream(2);
      zPhase = finished;
      deliverEnd(AT_Z, 2, true)
    }
  :: atomic { zPhase == running && callerAt != AT_Z ->
      zPhase = finished;
      dropStream(2);
      cancelOpen[2] = CANCELS_WHEN_GONE
    }
  od
}

/* When no further step is possible, no engine memory is held. */
active proctype AtRest() {
  timeout ->
  assert(engine[1] != held && engine[2] != held && engine[3] != held)
}

init {
  atomic {
    if
    :: mayMisjudgeDead = true
    :: mayMisjudgeDead = false
    fi;
    if
    :: mayBeKilled = true
    :: mayBeKilled = false
    fi;
    run EngineAttempt(1);
    run EngineAttempt(2);
    run EngineAttempt(3)
  }
}
