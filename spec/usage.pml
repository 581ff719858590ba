/*
 * Reports of usage by the holder of a lease, in a store that is restored.
 *
 * Two processes hold the lease one after the other; timed.pml shows that their terms
 * do not overlap and that the fence rises. Here a term begins and ends at any time.
 * The holder fixes the counts of a window by a write that depends on the row of its
 * term, then reports them, then records the report. It may crash or lose the lease
 * between any two steps. A write or a report may get no answer, and such a write may
 * be performed later. What is gathered differs from one gathering to the next.
 *
 * The store may be restored once from a copy. The rows of the windows and of the term
 * that were written since are then gone. The key of a row contains the generation.
 *
 * Properties (assertions in order): no two holders send the same fence, no lower fence
 * arrives after a higher one, and no window is accepted with two different counts.
 *
 * The tests of package singleton/usage drive the Go code through the same steps.
 *
 * Broken variants (each must fail):
 *   BROKEN_FENCE     the fence of a term is counted anew after a restore
 *   BROKEN_SAME      a term begins with the fence of the last one
 *   BROKEN_UNFIXED   counts are reported before they are fixed
 *   BROKEN_TERM      the write of the counts does not depend on the row of the term
 *   BROKEN_ADOPT     a new holder gathers counts although the window has a row
 *   BROKEN_LOST      a window of lost content is fixed again
 *   BROKEN_OLDER     counts in rows of older generations are reported
 *   BROKEN_AGAIN     counts are gathered again after a write without an answer
 *   BROKEN_FORGET    a holder forgets what it has fixed when the store is restored
 */
#define PROCESSES 2
#define WINDOWS 2
#define MAX_TERMS 3
#define FENCES 8       /* fences of one generation */
#define NONE 0         /* no counts */
#define MAX_COUNTS 4   /* gatherings that differ */
#define NOBODY PROCESSES

#ifdef BROKEN_FENCE
#define BASE(g) 0
#else
#define BASE(g) ((g) * FENCES)
#endif

/* plan.fixableFrom: windows of lost content are not fixed. */
#ifdef BROKEN_LOST
#define FIXABLE(w) true
#else
#define FIXABLE(w) (w >= from)
#endif

/* The key of a row in a generation. */
#define KEY(g, w) ((g) * WINDOWS + (w))

byte generation = 0;
byte ended = 0;          /* windows that have ended */
byte ended_at_restore = 0;
byte rows[4];            /* counts by key; NONE: the row does not exist */
byte copied[4];
bool has_copy = false;
byte term = 0;           /* fence in the row of the lease of this generation */
byte copied_term = 0;
byte terms = 0;
byte holder = NOBODY;
byte gathered = 0;       /* the last gathering */
byte late_key = 0;       /* a write without an answer that may still be performed */
byte late_counts = NONE;
byte late_term = 0;
byte accepted[WINDOWS];  /* ghost: what the platform has accepted */
byte last_fence = 0;     /* ghost: of the last report, and who sent it */
byte last_sender = NOBODY;

active proctype environment() {
  byte i;
  do
  :: atomic { ended < WINDOWS -> ended++ }
  :: atomic { generation == 0 && !has_copy ->
       has_copy = true; copied_term = term;
       i = 0; do :: i < 4 -> copied[i] = rows[i]; i++ :: else -> break od; i = 0 }
  :: atomic { generation == 0 && has_copy ->
       generation = 1; ended_at_restore = ended; term = 0;
       i = 0; do :: i < 4 -> rows[i] = copied[i]; i++ :: else -> break od; i = 0 }
  :: atomic { late_counts != NONE ->
       /* The row of a term of an older generation is that of the copy. */
       if
       :: late_key < WINDOWS && generation == 0 && late_term == term -> rows[late_key] = late_counts
       :: late_key < WINDOWS && generation == 1 && late_term == copied_term -> rows[late_key] = late_counts
       :: late_key >= WINDOWS && late_term == term -> rows[late_key] = late_counts
       :: else -> skip
       fi;
       late_counts = NONE; late_key = 0; late_term = 0 }
  :: terms == MAX_TERMS && late_counts == NONE && ended == WINDOWS -> break
  od
}

inline report(me, with, w, counts) {
  assert(last_sender == NOBODY || last_sender == me || with != last_fence);
  assert(with >= last_fence);
  assert(accepted[w] == NONE || accepted[w] == counts);
  last_fence = with; last_sender = me; accepted[w] = counts
}

active [PROCESSES] proctype process() {
  byte me = _pid - 1;
  byte fence = 0;           /* 0: not the holder */
  byte known = 0;           /* generation of the term */
  byte w = 0;
  byte fixed[WINDOWS];      /* confirmed by the store, or read from it */
  byte proposed[WINDOWS];   /* written without a confirmation */
  byte from = 0;            /* first window that may be fixed without a row */
  do
  /* A term begins: lease.(*StoreLease) raises the fence, then plan.load reads the rows. */
  :: atomic { holder == NOBODY && terms < MAX_TERMS ->
       terms++; holder = me; known = generation; from = (generation == 0 -> 0 : ended_at_restore);
       if
       :: term == 0 -> term = BASE(generation) + 1
       :: else ->
#ifndef BROKEN_SAME
          term = term + 1
#else
          skip
#endif
       fi;
       fence = term;
       w = 0;
       do
       :: w < WINDOWS ->
          proposed[w] = NONE;
#ifndef BROKEN_ADOPT
          if
          :: fixed[w] == NONE -> fixed[w] = rows[KEY(generation, w)]
          :: else -> skip
          fi;
#ifdef BROKEN_OLDER
          if
          :: fixed[w] == NONE -> fixed[w] = rows[KEY(0, w)]
          :: else -> skip
          fi;
#endif
#endif
          w++
       :: else -> break
       od;
       w = 0 }
  /* The holder observes a restore and renews its lease without an interruption. */
  :: atomic { holder == me && known < generation ->
       known = generation; term = BASE(generation) + 1; fence = term;
#ifdef BROKEN_FORGET
       fixed[0] = NONE; fixed[1] = NONE;
       proposed[0] = NONE; proposed[1] = NONE
#endif
     }
  /* The counts of a window are fixed. */
  :: atomic { holder == me && known == generation && gathered < MAX_COUNTS ->
       if
       :: ended > 0 -> w = 0
       :: ended > 1 -> w = 1
       :: else -> w = WINDOWS
       fi;
       if
       :: w < WINDOWS && fixed[w] == NONE && FIXABLE(w) ->
#ifndef BROKEN_AGAIN
          if
          :: proposed[w] == NONE -> gathered++; proposed[w] = gathered
          :: else -> skip
          fi;
#else
          gathered++; proposed[w] = gathered;
#endif
          if
          :: rows[KEY(known, w)] = proposed[w]; fixed[w] = proposed[w]      /* confirmed */
          :: rows[KEY(known, w)] = proposed[w]                              /* answer lost */
          :: late_counts == NONE ->                                         /* performed later */
             late_key = KEY(known, w); late_counts = proposed[w]; late_term = fence
          fi
       :: else -> skip
       fi;
       w = 0 }
#ifdef BROKEN_TERM
  /* A write of a process that is no longer the holder takes effect. */
  :: atomic { holder != me && proposed[0] != NONE && generation == known && fixed[0] == NONE ->
       rows[KEY(known, 0)] = proposed[0] }
#endif
  /* The report: the check of the authority, then the call, within the term. */
  :: atomic { holder == me && fence > 0 ->
       if
       :: w = 0
       :: w = 1
       fi;
#ifdef BROKEN_UNFIXED
       if
       :: fixed[w] == NONE && proposed[w] != NONE -> report(me, fence, w, proposed[w])
       :: fixed[w] != NONE -> report(me, fence, w, fixed[w])
       :: else -> skip
       fi;
#else
       if
       :: fixed[w] != NONE -> report(me, fence, w, fixed[w])
       :: else -> skip
       fi;
#endif
       w = 0 }
  /* The lease expires or is given up; a crash also loses what the process knows. */
  :: atomic { holder == me -> holder = NOBODY; fence = 0;
       if
       :: fixed[0] = NONE; fixed[1] = NONE; proposed[0] = NONE; proposed[1] = NONE; from = 0; known = 0
       :: true -> skip
       fi }
  :: terms == MAX_TERMS && holder != me -> break
  od
}
