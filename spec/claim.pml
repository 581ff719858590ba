/*
 * The call that runs at most once.
 *
 * Two callers' attempts carry one idempotency key and reach the home agent
 * through different entries. The table's answers may be lost after taking
 * effect, the table may be away, and the agent may restart at any point.
 *
 * Properties:
 *   - the service runs the call at most once (assertion in run_call);
 *   - an attempt that was told "not run" did not run, and that a finished
 *     call is told only with its first answer (assertions in reply).
 *
 * TestAtMostOnce in package claim drives the Go code through these
 * transitions.
 *
 * Broken variants (each must fail):
 *   BROKEN_ORDER    the call runs before its claim is written
 *   BROKEN_LOST     a lost answer of the claim is taken as a failed claim and
 *                   claimed anew without reading the operation id
 *   BROKEN_UNKNOWN  a claim without a result is told as "not run"
 *   BROKEN_OUTAGE   a call runs without a claim while the table is away
 */
#define ATTEMPTS 2
#define MAX_RESTARTS 2
#define NONE 255

mtype = { rejected, unknown, finished, pending };

byte claim_owner = NONE;   /* attempt that owns the claim row */
byte claim_life = NONE;    /* incarnation of the agent that wrote it */
bool has_result = false;
bool up = true;
byte life = 0;             /* incarnation of the agent */
byte runs = 0;             /* ghost: executions by the service */
bool ran[ATTEMPTS];        /* ghost: this attempt's run reached the service */
mtype told[ATTEMPTS] = pending;

/* record.(*ServiceClient).Do from record.(*Executor).runClaimed: from here on
 * the call may run. */
inline run_call(me) {
  runs++;
  ran[me] = true;
  assert(runs <= 1)
}

/* record.replyFor and record.serviceReply. */
inline reply(me, outcome) {
  told[me] = outcome;
  assert(!(outcome == rejected && ran[me]));
  assert(outcome != finished || runs == 1)
}

/* record.(*Executor).callOnce with the claims duty and the decisions of package
 * claim. An agent that restarts in the middle leaves the attempt without a
 * reply: unknown. */
proctype attempt(byte me) {
  byte born = life;
  bool mine = false;
  bool lost = false;

#ifdef BROKEN_ORDER
  atomic { run_call(me) }
#endif

  /* claim.NewCall, then record.(*committer).write: the claim row is written if it
   * does not exist. */
  atomic {
    if
    :: !up ->
#ifdef BROKEN_OUTAGE
       mine = true
#else
       reply(me, rejected); goto over
#endif
    :: up && claim_owner == NONE ->
       claim_owner = me; claim_life = life; mine = true;
       if
       :: lost = true   /* took effect, answer lost */
       :: skip
       fi
    :: up && claim_owner != NONE -> skip
    fi
  }
  if
  :: life != born -> atomic { told[me] = unknown }; goto over
  :: else -> skip
  fi;

  /* stores.Table.Transact: after a lost reply the operation id shows that the
   * claim is ours. */
  if
  :: lost ->
#ifdef BROKEN_LOST
     atomic { claim_owner = NONE; mine = false };
     atomic {
       if
       :: claim_owner == NONE -> claim_owner = me; mine = true
       :: else -> skip
       fi
     };
     run attempt((me + 1) % ATTEMPTS);
#endif
     skip
  :: else -> skip
  fi;

  if
  :: mine && life == born ->
#ifndef BROKEN_ORDER
     atomic { if :: life == born -> run_call(me) :: else -> goto died fi };
#endif
     /* claim.(*Call).RecordClaimStored let the call run; claim.(*Call).Finish and
      * RecordResultStored: the result is written to the same row and is in
      * memory until then. */
     atomic {
       if
       :: life == born -> has_result = true; reply(me, finished)
       :: else -> goto died
       fi
     }
  :: mine && life != born ->
died:
     atomic { told[me] = unknown }
  :: !mine ->
     /* claim.(*Call).HandleClaimConflict and claim.Decide. */
     atomic {
       if
       :: has_result -> reply(me, finished)
       :: !has_result ->
#ifdef BROKEN_UNKNOWN
          reply(me, rejected);
          claim_owner = NONE
#else
          told[me] = unknown
#endif
       fi
     }
  fi;
over:
  skip
}

active proctype callers() {
  run attempt(0);
  run attempt(1);
#ifdef BROKEN_UNKNOWN
  /* A caller that was told "not run" sends the call again. */
  (told[1] == rejected || told[0] == rejected) ->
  ran[0] = false; ran[1] = false;
  run attempt(0)
#endif
}

active proctype faults() {
  byte n = 0;
  do
  :: n < MAX_RESTARTS -> atomic { n++; life++ }
  :: atomic { up = !up }
  :: break
  od
}
