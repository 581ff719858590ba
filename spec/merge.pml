/*
 * Merge of rows that come from the store and from peers.
 *
 * The operator writes two rows under one counter. Each process knows a version
 * of each row and the version up to which it knows the whole table. It learns
 * from the store's feed, or from a peer's reply that may arrive late.
 *
 * Properties: a process never goes back to an older version of a row
 * (assertions in take), and it never claims to know a table further than the
 * rows that it has (assertion in claim).
 *
 * The Go code is in package fleet: state.put, state.merge and state.rowsAfter.
 * runState replies to pulls. TestMergeKeepsNewestRow and the other tests of
 * state_test.go drive it.
 *
 * Broken variants (each must fail):
 *   BROKEN_ORDER  a row is taken whatever its version
 *   BROKEN_KNOWN  a peer's claim is taken without its rows
 *   BROKEN_REPLY  the claim of a reply is read after its rows
 */
#define PROCESSES 2
#define ROWS 2
#define MAX_VERSION 4

byte counter = 0;
byte stored[ROWS];
typedef knowledge { byte row[ROWS]; byte known };
knowledge p[PROCESSES];
/* replies on their way: for whom, both rows, the claim */
chan replies = [2] of { byte, byte, byte, byte };

active proctype operator() {
  do
  :: atomic { counter < MAX_VERSION -> counter++; stored[0] = counter }
  :: atomic { counter < MAX_VERSION -> counter++; stored[1] = counter }
  :: counter == MAX_VERSION -> break
  od
}

inline take(me, i, version) {
  if
#ifdef BROKEN_ORDER
  :: version > 0 && version != p[me].row[i] ->
#else
  :: version > p[me].row[i] ->
#endif
     assert(version >= p[me].row[i]);
     p[me].row[i] = version
  :: else -> skip
  fi
}

inline claim(me, version) {
  if
  :: version > p[me].known -> p[me].known = version
  :: else -> skip
  fi;
  /* every row that the store had at the claimed version is known */
  assert(stored[0] > p[me].known || p[me].row[0] >= stored[0]);
  assert(stored[1] > p[me].known || p[me].row[1] >= stored[1])
}

active [PROCESSES] proctype process() {
  byte me = _pid - 1;
  byte peer = 1 - me;
  byte asked = 0;
  byte r0 = 0;
  byte r1 = 0;
  byte known = 0;
  do
  /* the store's feed: what changed after the known version */
  :: atomic {
       take(me, 0, stored[0]); take(me, 1, stored[1]); claim(me, counter);
       r0 = 0; r1 = 0; known = 0; asked = 0
     }
  /* a pull: the peer answers with its rows above the asked version */
  :: atomic {
       nfull(replies) ->
       asked = p[me].known;
       r0 = (p[peer].row[0] > asked -> p[peer].row[0] : 0);
       r1 = (p[peer].row[1] > asked -> p[peer].row[1] : 0);
#ifndef BROKEN_REPLY
       known = p[peer].known
#endif
     };
     atomic {
       nfull(replies) ->
#ifdef BROKEN_REPLY
       known = p[peer].known;
#endif
       replies ! me, r0, r1, known;
       r0 = 0; r1 = 0; known = 0; asked = 0
     }
  /* a reply arrives, perhaps after newer rows */
  :: atomic {
       replies ?? eval(me), r0, r1, known ->
#ifndef BROKEN_KNOWN
       take(me, 0, r0); take(me, 1, r1);
#endif
       claim(me, known);
       r0 = 0; r1 = 0; known = 0; asked = 0
     }
  od
}
