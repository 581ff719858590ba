/*
 * Orders of the number of upstreams of a service in a failure domain.
 *
 * Two processes hold the lease one after the other; timed.pml shows that their terms
 * do not overlap and that the fence rises. Here a term begins and ends at any time, but
 * only when no order of an earlier one is on its way: the gap between two terms is
 * longer than an order takes. The store may be restored once, which loses the row of
 * the term.
 *
 * The holder decides a count, checks its authority and sends the order. The order may
 * be lost, or its answer; and one order may take effect at any later time, also after
 * orders of later holders. The holder learns the count in force from the list of
 * upstreams, repeats an order without an answer, and orders again when the list shows
 * another count.
 *
 * Properties (assertions in order): no two holders send the same fence, no lower fence
 * arrives after a higher one, and when all is quiet, the count is that of the last
 * holder.
 *
 * The tests of package singleton/autoscale drive the Go code through the same steps.
 *
 * Broken variants (each must fail):
 *   BROKEN_FENCE     the fence of a term is counted anew after a restore
 *   BROKEN_SAME      a term begins with the fence of the last one
 *   BROKEN_GAP       a term begins while an order of an earlier one is on its way
 *   BROKEN_CHECK     the authority is checked at the decision only
 *   BROKEN_LIST      the holder does not compare the list with the count in force
 *   BROKEN_ANSWER    an order without an answer is taken as without effect, and the list
 *                    is read only at the beginning of a term
 */
#define PROCESSES 2
#define MAX_TERMS 3
#define MAX_LOST 2     /* orders or answers that are lost */
#define FENCES 8       /* fences of one generation */
#define NOBODY PROCESSES
#define NO_COUNT 0

#ifdef BROKEN_FENCE
#define BASE(g) 0
#else
#define BASE(g) ((g) * FENCES)
#endif

#ifdef BROKEN_GAP
#define GAP_OVER(other) true
#else
#define GAP_OVER(other) (flight[other] == 0)
#endif

byte generation = 0;
byte term = 0;           /* fence in the row of the lease of this generation */
byte terms = 0;
byte holder = NOBODY;
byte lost = 0;
byte count = 1;          /* upstreams of the failure domain, as listed */
byte late = NO_COUNT;    /* an order that has arrived and takes effect later */
bool delayed = false;    /* one order is delayed at most */
byte flight[PROCESSES];  /* fence of the order that is on its way; 0: none */
byte ordered[PROCESSES]; /* its count */
byte wanted = NO_COUNT;  /* ghost: the decision of the last holder */
byte last_fence = 0;     /* ghost: of the last order that arrived, and who sent it */
byte last_sender = NOBODY;

inline arrive(me) {
  assert(last_sender == NOBODY || last_sender == me || flight[me] != last_fence);
  assert(flight[me] >= last_fence);
  last_fence = flight[me]; last_sender = me
}

active proctype environment() {
  do
  :: atomic { generation == 0 -> generation = 1; term = 0 }
  :: atomic { late != NO_COUNT -> count = late; late = NO_COUNT }
  :: timeout -> assert(holder == NOBODY || count == wanted); break
  od
}

active [PROCESSES] proctype process() {
  byte me = _pid - 1;
  byte fence = 0;          /* 0: not the holder */
  byte known = 0;          /* generation of the term */
  byte desired = NO_COUNT;
  byte in_force = NO_COUNT;
  byte checked = 0;        /* fence with which an order was decided */
  bool uncertain = false;  /* the result of the last order is not known */
end:
  do
  /* A term begins; target.hold learns the count in force from the list. */
  :: atomic { holder == NOBODY && terms < MAX_TERMS && GAP_OVER(1 - me) ->
       terms++; holder = me; known = generation;
       if
       :: term == 0 -> term = BASE(generation) + 1
       :: else ->
#ifndef BROKEN_SAME
          term = term + 1
#else
          skip
#endif
       fi;
       fence = term; in_force = count; uncertain = false;
       if
       :: desired = 1
       :: desired = 2
       fi;
       wanted = desired }
  /* The holder observes a restore and renews its lease without an interruption. */
  :: atomic { holder == me && known < generation && flight[me] == 0 ->
       known = generation; term = BASE(generation) + 1; fence = term }
  /* target.observeListed: the list shows another count than the one in force. */
#ifndef BROKEN_LIST
#ifndef BROKEN_ANSWER
  :: atomic { holder == me && !uncertain && in_force != count -> in_force = count }
#endif
#endif
  /* target.due: an order is decided. */
  :: atomic { holder == me && known == generation && checked == 0 && flight[me] == 0 && (desired != in_force || uncertain) ->
       checked = fence }
  /* The check of the authority and the request. */
  :: atomic { checked != 0 && flight[me] == 0 ->
#ifndef BROKEN_CHECK
       if
       :: holder == me && fence == checked -> flight[me] = checked; ordered[me] = desired
       :: else -> skip
       fi;
#else
       flight[me] = checked; ordered[me] = desired;
#endif
       checked = 0 }
  /* target.record: the order arrives with an answer, without one, late, or not at all. */
  :: atomic { flight[me] != 0 ->
       if
       :: arrive(me); count = ordered[me]; in_force = ordered[me]; uncertain = false
       :: lost < MAX_LOST ->
          lost++; arrive(me); count = ordered[me];
#ifndef BROKEN_ANSWER
          in_force = ordered[me]; uncertain = true
#endif
       :: lost < MAX_LOST ->
          lost++;
#ifndef BROKEN_ANSWER
          in_force = ordered[me]; uncertain = true
#endif
       :: !delayed ->
          delayed = true; arrive(me); late = ordered[me]; in_force = ordered[me]; uncertain = false
       fi;
       flight[me] = 0; ordered[me] = NO_COUNT }
  /* The lease expires or is given up. The last holder remains. */
  :: atomic { holder == me && terms < MAX_TERMS ->
       holder = NOBODY; fence = 0; desired = NO_COUNT }
  od
}
