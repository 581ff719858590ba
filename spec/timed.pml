/*
 * A lease whose end is on the store's steady clock, in a store that is restored.
 *
 * Two processes compete for the lease. Each reads the row of the store's
 * generation and the store's time, writes the row under the condition of the
 * version that it has read, and measures its own time from before it asked.
 * Readings, writes and orders take any time, and a process may be paused between
 * any two steps. A write may get no response and be performed at any later time.
 * All clocks run at one rate.
 *
 * The store may be restored from a copy. What was written since the copy is then
 * gone, and its versions are assigned again.
 *
 * Properties (assertions in order): orders of two holders are at least QUIET
 * apart, and the fence rises from one holder to the next.
 *
 * TestStoreLeaseKeepsHoldersApart, TestStoreLeaseKeepsHoldersApartAfterRestores
 * and TestLateWritesAcrossRestoresKeepHoldersApart in package lease drive the Go
 * code through the same steps with random delays.
 *
 * Broken variants (each must fail):
 *   BROKEN_QUIET      a lease is taken as soon as it has ended
 *   BROKEN_ASKED      the own time is measured from the answer on
 *   BROKEN_CONDITION  the row is written whatever its version
 *   BROKEN_MARGIN     the holder gives orders until the very end
 *   BROKEN_RELEASE    a released row ends before the last order has arrived
 *   BROKEN_KEY        all generations share one row
 *   BROKEN_WAIT       a lease is taken as soon as the row of a new generation is read
 *   BROKEN_LATE       a holder of the older generation replaces the row of a newer one
 *   BROKEN_FENCE      fences are counted anew in each generation
 */
#define PROCESSES 2
/* The search with a restore has smaller bounds. RESTORES selects it for the correct
 * specification. */
#if defined(BROKEN_KEY) || defined(BROKEN_WAIT) || defined(BROKEN_LATE) || defined(BROKEN_FENCE)
#define RESTORES 1
#endif
#ifdef RESTORES
#define MAX_GENERATION 1
#define LENGTH 1
#define MARGIN 0
#define QUIET 1
#define DELAY 0
#define MAX_TIME 3
#else
#define MAX_GENERATION 0
#define LENGTH 2
#define MARGIN 1
#define QUIET 2
#define DELAY 1 /* an order arrives at most so much after the check */
#define MAX_TIME 7
#endif
#ifndef MAX_WRITES
#define MAX_WRITES 3 /* the largest version */
#endif
#define GENERATIONS 2
#define FENCES 8 /* fences of one generation */
#define NOBODY PROCESSES

#ifdef BROKEN_KEY
#define KEY(g) 0
#else
#define KEY(g) g
#endif
#ifdef BROKEN_LATE
#define MAY_BE_LOST(v) true
#else
#define MAY_BE_LOST(v) (v == 0) /* no process has a lease of this generation */
#endif
#ifdef BROKEN_FENCE
#define BASE(g) 0
#else
#define BASE(g) (g * FENCES)
#endif

typedef Row {
  byte holder = NOBODY;
  byte until = 0;
  byte fence = 0;
  byte version = 0 /* 0: the row does not exist */
}

byte now = 0;
byte generation = 0;
byte newest = 0;          /* the store's newest version */
Row rows[GENERATIONS];    /* by key */
byte copied_newest = 0;
Row copied[1];            /* the copy of the content, at first empty; taken before the one restore */
bool late = false;        /* a write without a response that was not performed yet */
byte late_key = 0;
byte late_version = 0;
Row late_row;
byte last_holder = NOBODY; /* ghost: who gave the last order that arrived */
byte last_order = 0;
byte last_fence = 0;

active proctype time_passes() {
  do
  :: atomic { now < MAX_TIME -> now++;
       if /* fewer states: orders that are far enough back are alike */
       :: now - last_order >= QUIET -> last_order = 0
       :: else -> skip
       fi
     }
  :: else -> break
  od
}

inline put(k, by, end, with) {
  newest++;
  rows[k].holder = by; rows[k].until = end; rows[k].fence = with; rows[k].version = newest;
  /* The rows of older generations are removed. */
  if
  :: k > 0 -> rows[0].holder = NOBODY; rows[0].until = 0; rows[0].fence = 0; rows[0].version = 0
  :: else -> skip
  fi
}

inline assign(to, from) {
  to.holder = from.holder; to.until = from.until; to.fence = from.fence; to.version = from.version
}

active proctype store() {
  do
  :: atomic { generation < MAX_GENERATION && newest > 0 && copied_newest == 0 ->
       copied_newest = newest; assign(copied[0], rows[0]) }
  :: atomic { generation < MAX_GENERATION ->
       generation++; newest = copied_newest; assign(rows[0], copied[0]);
       copied_newest = 0; copied[0].holder = NOBODY; copied[0].until = 0; copied[0].fence = 0; copied[0].version = 0 }
  :: atomic { late ->
       if
       :: rows[late_key].version == late_version && newest < MAX_WRITES -> put(late_key, late_row.holder, late_row.until, late_row.fence)
       :: else -> skip
       fi;
       late = false; late_key = 0; late_version = 0;
       late_row.holder = NOBODY; late_row.until = 0; late_row.fence = 0
     }
  :: now >= MAX_TIME -> break
  od
}

inline order(me, with) {
  assert(last_holder == NOBODY || last_holder == me || now - last_order >= QUIET);
  assert(last_holder == NOBODY || last_holder == me || with > last_fence);
  assert(with >= last_fence);
  last_holder = me;
  last_order = now;
  last_fence = with
}

active [PROCESSES] proctype process() {
  byte me = _pid - 2;
  byte asked = 0;
  byte store_now = 0;
  byte version = 0;
  byte holder = NOBODY;
  byte until = 0;
  byte fence = 0;
  byte stop = 0;       /* own time at which orders end; 0: not held */
  byte held_fence = 0;
  byte held_in = 0;    /* generation in which the lease was written */
  byte known = 0;      /* newest generation observed */
  byte from = 0;       /* time from which the lease may be acquired in it */
  byte checked = 0;
  byte checked_fence = 0;
  bool free = false;
  do
  /* lease.(*StoreLease).ObserveGeneration and RecordRead: the time before the
   * request, then the store's response. */
  :: now < MAX_TIME && newest < MAX_WRITES ->
     asked = now;
     atomic {
       if /* fewer states: a lease that has ended is none, a wait that is over too */
       :: asked >= stop -> stop = 0; held_fence = 0; held_in = 0
       :: else -> skip
       fi;
       if
       :: asked >= from -> from = 0
       :: else -> skip
       fi;
       if
       :: generation > known -> known = generation;
#ifndef BROKEN_WAIT
          from = now + LENGTH + QUIET
#endif
       :: else -> skip
       fi;
       store_now = now;
       version = rows[KEY(known)].version; holder = rows[KEY(known)].holder;
       until = rows[KEY(known)].until; fence = rows[KEY(known)].fence;
       if
       :: holder != me && !(MAY_BE_LOST(version) && held_in < known && asked < stop) -> stop = 0; held_fence = 0; held_in = 0
       :: else -> skip
       fi;
       /* lease.(*StoreLease).Proposal */
#ifdef BROKEN_QUIET
       free = asked < stop || (asked >= from && (version == 0 || holder == me || store_now >= until));
#else
       free = asked < stop || (asked >= from && (version == 0 || holder == me || store_now >= until + QUIET));
#endif
       if
       :: fence < BASE(known) -> fence = BASE(known) + 1
       :: fence >= BASE(known) && holder != me -> fence++
       :: else -> skip
       fi;
       holder = NOBODY; until = 0;
       if
       :: !free -> version = 0; fence = 0; store_now = 0; asked = 0
       :: else -> skip
       fi
     };
     atomic {
       if
#ifdef BROKEN_CONDITION
       :: free && newest < MAX_WRITES ->
#else
       :: free && newest < MAX_WRITES && rows[KEY(known)].version == version ->
#endif
          put(KEY(known), me, store_now + LENGTH, fence);
          /* lease.(*StoreLease).RecordWrite; the response may be lost */
          if
          :: generation == known ->
             held_fence = fence; held_in = known;
#ifdef BROKEN_ASKED
             stop = now + LENGTH - MARGIN
#else
#ifdef BROKEN_MARGIN
             stop = asked + LENGTH + MARGIN
#else
             stop = asked + LENGTH - MARGIN
#endif
#endif
          :: true -> skip
          fi
       :: MAX_GENERATION > 0 && free && !late -> /* no response; performed later */
          late = true; late_key = KEY(known); late_version = version;
          late_row.holder = me; late_row.until = store_now + LENGTH; late_row.fence = fence
       :: else -> skip
       fi;
       asked = 0; store_now = 0; version = 0; fence = 0; free = false
     }
#ifndef RESTORES /* fewer states */
  /* lease.(*StoreLease).Release and ReleaseProposal: the holder stops, then shortens its row. */
  :: atomic { stop > 0 && now < stop && rows[KEY(known)].holder == me && newest < MAX_WRITES ->
#ifdef BROKEN_RELEASE
       put(KEY(known), me, 0, rows[KEY(known)].fence);
#else
       put(KEY(known), me, now + MARGIN, rows[KEY(known)].fence);
#endif
       stop = 0; held_fence = 0; held_in = 0
     }
#endif
  /* lease.(*StoreLease).HeldFence, then an order that arrives a little later */
  :: atomic { stop > 0 && now < stop -> checked = now; checked_fence = held_fence };
     atomic {
       if
       :: now <= checked + DELAY -> order(me, checked_fence)
       :: else -> skip
       fi;
       checked = 0; checked_fence = 0
     }
  :: now >= MAX_TIME -> break
  od
}
