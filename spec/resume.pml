/*
 * A stream that goes on at another server.
 *
 * A server sends numbered events and may break off at any point, also within an
 * event. The front passes whole events on, and has the run go on at another
 * server after the last event that the caller has. A server may send events again
 * that the caller has.
 *
 * Properties: the caller gets each event once and in order (assertions in pass),
 * and a stream that ends as complete has all events (assertion in complete).
 *
 * The Go code is gateway.(*callState).relayStream and writeEvent, and
 * attempts.Run for the next attempt. TestStreams in package frontend drives it.
 *
 * Broken variants (each must fail):
 *   BROKEN_HALF   an event that broke off is passed on
 *   BROKEN_SKIP   events that the caller has are passed on again
 *   BROKEN_END    a stream that broke off ends as complete
 *   BROKEN_PLACE  the next server is asked to begin after its own last event
 */
#define EVENTS 4
#define MAX_ATTEMPTS 3
#define HALF 0 /* an event that broke off */
#define END 200
#define BREAK 201

chan wire = [1] of { byte };
chan start = [0] of { byte };
byte attempts = 0;
byte caller = 0; /* last event that the caller has */
bool over = false;

inline pass(id) {
  assert(id != HALF);
  assert(id == caller + 1);
  caller = id
}

inline complete() {
  assert(caller == EVENTS);
  over = true
}

/* A server: begins after an event, or a little before it, and may break off. */
active proctype server() {
  byte after;
  byte next;
end:
  do
  :: start ? after ->
     next = after + 1;
     if
     :: after > 0 -> next = after /* sends the last event again */
     :: true -> skip
     fi;
     do
     :: next <= EVENTS -> wire ! next; next++
     :: next > EVENTS -> wire ! END; break
     :: attempts < MAX_ATTEMPTS -> wire ! BREAK; break
     :: attempts < MAX_ATTEMPTS && next <= EVENTS -> wire ! HALF; wire ! BREAK; break
     od
  od
}

active proctype front() {
  byte id;
  byte seen = 0;
again:
  attempts++;
#ifdef BROKEN_PLACE
  start ! seen;
#else
  start ! caller;
#endif
  do
  :: wire ? id ->
     if
     :: id == END -> complete(); goto done
     :: id == BREAK ->
#ifdef BROKEN_END
        complete(); goto done
#else
        goto again
#endif
     :: id == HALF ->
#ifdef BROKEN_HALF
        pass(id)
#else
        skip
#endif
     :: id != HALF && id < END ->
        seen = id + 1;
        if
#ifndef BROKEN_SKIP
        :: id <= caller -> skip
        :: id > caller -> pass(id)
#else
        :: true -> pass(id)
#endif
        fi
     fi
  od;
done:
  skip
}
