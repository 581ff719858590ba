/*
 * A lease whose end is on the store's steady clock.
 *
 * Two processes compete for one row. Each reads the row and the store's time,
 * writes the row under the condition of the version that it has read, and
 * measures its own time from before it asked. Readings, writes and orders take
 * any time, and a process may be paused between any two steps. All clocks run at
 * one rate.
 *
 * Property (assertion in order): orders of two holders are at least QUIET apart.
 *
 * TestStoreLeaseKeepsHoldersApart in package lease drives the Go code through
 * the same steps with random delays.
 *
 * Broken variants (each must fail):
 *   BROKEN_QUIET      a lease is taken as soon as it has ended
 *   BROKEN_ASKED      the own time is measured from the answer on
 *   BROKEN_CONDITION  the row is written whatever its version
 *   BROKEN_MARGIN     the holder gives orders until the very end
 */
#define PROCESSES 2
#define LENGTH 2
#define MARGIN 1
#define QUIET 2
#define DELAY 1 /* an order arrives at most so much after the check */
#define MAX_TIME 7
#define MAX_WRITES 3
#define NOBODY PROCESSES

byte now = 0;
byte row_holder = NOBODY;
byte row_until = 0;
byte row_version = 0;
byte last_holder = NOBODY; /* ghost: who gave the last order that arrived */
byte last_order = 0;

active proctype time_passes() {
  do
  :: now < MAX_TIME -> now++
  :: else -> break
  od
}

inline order(me) {
  assert(last_holder == NOBODY || last_holder == me || now - last_order >= QUIET);
  last_holder = me;
  last_order = now
}

active [PROCESSES] proctype process() {
  byte me = _pid - 1;
  byte asked = 0;
  byte store_now = 0;
  byte version = 0;
  byte holder = NOBODY;
  byte until = 0;
  byte stop = 0;     /* own time at which orders end; 0: not held */
  byte checked = 0;
  bool free = false;
  bool written = false;
  do
  /* lease.(*StoreLease).RecordRead: the time before the request, then the
   * store's response. */
  :: now < MAX_TIME && row_version < MAX_WRITES ->
     asked = now;
     atomic {
       store_now = now; version = row_version; holder = row_holder; until = row_until;
       if
       :: holder != me -> stop = 0
       :: else -> skip
       fi
     };
     /* lease.(*StoreLease).Proposal */
#ifdef BROKEN_QUIET
     free = (version == 0 || holder == me || store_now >= until);
#else
     free = (version == 0 || holder == me || store_now >= until + QUIET);
#endif
     written = false;
     atomic {
       if
#ifdef BROKEN_CONDITION
       :: free ->
#else
       :: free && row_version == version ->
#endif
          row_holder = me; row_until = store_now + LENGTH; row_version++; written = true
       :: else -> skip
       fi
     };
     /* lease.(*StoreLease).RecordWrite; the response may be lost */
     if
     :: written ->
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
     fi;
     asked = 0; store_now = 0; version = 0; holder = NOBODY; until = 0; free = false; written = false
  /* lease.(*StoreLease).HeldFence, then an order that arrives a little later */
  :: atomic { stop > 0 && now < stop -> checked = now };
     atomic {
       if
       :: now <= checked + DELAY -> order(me)
       :: else -> skip
       fi;
       checked = 0
     }
  :: now >= MAX_TIME -> break
  od
}
