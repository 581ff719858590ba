/*
 * Leases, pauses and fencing tokens.
 *
 * Two holders compete for one lease. A holder may be paused at any moment, so
 * that its order arrives after its lease has ended. The agent beside the
 * upstream checks the fence; the upstream itself may ignore it. The agent may
 * restart and then reads the fence from the table before the next order.
 *
 * Property (assertion in upstream_order): no order is carried out after one
 * with a larger fence.
 *
 * TestLeaseFollowsSpecification in package lease drives the Go code through
 * these transitions.
 *
 * Broken variants (each must fail):
 *   BROKEN_CHECK    the agent passes every order on
 *   BROKEN_RESTART  a restarted agent does not read the fence
 *   BROKEN_FENCE    a new lease keeps the fence of the last one
 */
#define HOLDERS 2
#define MAX_FENCE 4
#define MAX_RESTARTS 2

byte t_fence = 0;        /* fence of the current lease */
byte t_holder = HOLDERS; /* HOLDERS: none */
bool expired = true;
byte agent_fence = 0;
bool agent_knows = true;
byte done_fence = 0;     /* ghost: largest fence carried out */
byte done_holder = HOLDERS;
byte restarts = 0;

typedef order { byte fence; byte holder };
chan orders = [2] of { byte, byte };

/* lease.(*State).Step, mayWrite and Proposal, carried out by
 * control.(*leaseDuty).runSteps. */
inline acquire(me, fence) {
  atomic {
    if
    :: expired && t_fence < MAX_FENCE ->
#ifndef BROKEN_FENCE
       t_fence++;
#else
       t_fence = 1;
#endif
       t_holder = me; expired = false; fence = t_fence
    :: else -> skip
    fi
  }
}

/* The upstream carries the order out. An upstream that ignores fences relies
 * on the agent alone, so this models the weaker kind. */
inline upstream_order(fence, holder) {
  assert(fence >= done_fence);
  assert(fence > done_fence || holder == done_holder || done_holder == HOLDERS);
  done_fence = fence;
  done_holder = holder
}

active [HOLDERS] proctype holder() {
  byte me = _pid;
  byte fence = 0;
  do
  :: fence == 0 -> acquire(me, fence)
  /* lease.(*State).HeldFence through control.(*Control).HeldFence: the check of
   * the local clock, a pause of any length, then the order. */
  :: fence > 0 && t_holder == me && !expired -> orders ! fence, me
  :: fence > 0 && nfull(orders) -> orders ! fence, me
  :: fence > 0 -> fence = 0
  od
}

active proctype time_passes() {
  do
  :: atomic { !expired -> expired = true }
  od
}

/* agent.(*orderExecutor).execute, with the rule of
 * lease.(*FenceChecker).Accept. */
active proctype agent() {
  byte fence;
  byte from;
  do
  :: atomic {
       orders ? fence, from ->
       if
       :: !agent_knows ->
#ifndef BROKEN_RESTART
          agent_fence = t_fence;
#endif
          agent_knows = true
       :: else -> skip
       fi;
       if
#ifdef BROKEN_CHECK
       :: true -> upstream_order(fence, from)
#else
       :: fence >= agent_fence -> agent_fence = fence; upstream_order(fence, from)
       :: else -> skip
#endif
       fi
     }
  :: atomic {
       restarts < MAX_RESTARTS -> restarts++; agent_fence = 0; agent_knows = false
     }
  od
}
