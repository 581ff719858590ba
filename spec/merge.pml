/*
 * Merge of rows that come from the store and from peers.
 *
 * The operator writes two rows under one counter. Each process knows a version
 * of each row and the version up to which it knows the whole table. It learns
 * from the store's feed, or from a peer's reply that may arrive late. The
 * store's content may be restored from a copy; versions are then assigned again
 * and the generation increases.
 *
 * Properties: within a generation, a process never goes back to an older version
 * of a row (assertions in take), and it never claims to know a table further
 * than the rows that it has (assertion in claim). It never goes back to an older
 * generation (assertion in adopt).
 *
 * The Go code is in package fleet: state.apply, state.put, state.merge,
 * state.restore and state.rowsAfter. pollTable discards changes of another
 * generation, and runState replies to pulls. TestMergeKeepsNewestRow and the
 * other tests of state_test.go and restore_test.go drive it.
 *
 * Broken variants (each must fail):
 *   BROKEN_ORDER  a row is taken whatever its version
 *   BROKEN_KNOWN  a peer's claim is taken without its rows
 *   BROKEN_REPLY  the claim of a reply is read after its rows
 *   BROKEN_FEED   changes of a newer generation are taken like others
 *   BROKEN_RESTORE  a peer with a newer generation replies with later rows only
 *   BROKEN_GENERATION  a reply of an older generation is taken
 */
#define PROCESSES 2
#define ROWS 2
#ifndef MAX_VERSION
#define MAX_VERSION 3
#endif
#ifndef MAX_GENERATION
#define MAX_GENERATION 1
#endif

byte counter = 0;
byte stored[ROWS];
byte generation = 0;
/* a copy of the content, taken once */
bool copied = false;
byte copy[ROWS];
byte copycounter = 0;
typedef knowledge { byte row[ROWS]; byte known; byte gen };
knowledge p[PROCESSES];
/* replies on their way: for whom, generation, both rows, the claim */
chan replies = [2] of { byte, byte, byte, byte, byte };

active proctype operator() {
  do
  :: atomic { counter < MAX_VERSION -> counter++; stored[0] = counter }
  :: atomic { counter < MAX_VERSION -> counter++; stored[1] = counter }
  :: atomic {
       !copied ->
       copied = true; copy[0] = stored[0]; copy[1] = stored[1]; copycounter = counter
     }
  :: atomic {
       copied && generation < MAX_GENERATION ->
       generation++; stored[0] = copy[0]; stored[1] = copy[1]; counter = copycounter
     }
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
  assert(p[me].gen != generation || stored[0] > p[me].known || p[me].row[0] == stored[0]);
  assert(p[me].gen != generation || stored[1] > p[me].known || p[me].row[1] == stored[1])
}

/* all rows of another generation replace those of this one */
inline adopt(me, newer, v0, v1, version) {
  assert(newer > p[me].gen);
  p[me].gen = newer; p[me].row[0] = v0; p[me].row[1] = v1; p[me].known = version;
  claim(me, version)
}

active [PROCESSES] proctype process() {
  byte me = _pid - 1;
  byte peer = 1 - me;
  byte asked = 0;
  byte r0 = 0;
  byte r1 = 0;
  byte known = 0;
  byte gen = 0;
  do
  /* the store's feed: what changed after the known version, or the whole table
   * when it is of another generation */
  :: atomic {
       if
#ifndef BROKEN_FEED
       :: generation != p[me].gen -> adopt(me, generation, stored[0], stored[1], counter)
#endif
       :: else ->
          p[me].gen = generation;
          take(me, 0, stored[0]); take(me, 1, stored[1]); claim(me, counter)
       fi;
       r0 = 0; r1 = 0; known = 0; asked = 0; gen = 0
     }
  /* a pull: the peer answers with its rows above the asked version, or with all
   * of them when its generation is newer */
  :: atomic {
       nfull(replies) && p[peer].gen >= p[me].gen ->
       asked = p[me].known;
#ifndef BROKEN_RESTORE
       asked = (p[peer].gen > p[me].gen -> 0 : asked);
#endif
       gen = p[peer].gen;
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
       replies ! me, gen, r0, r1, known;
       r0 = 0; r1 = 0; known = 0; asked = 0; gen = 0
     }
  /* a reply arrives, perhaps after newer rows */
  :: atomic {
       replies ?? eval(me), gen, r0, r1, known ->
       if
       :: gen > p[me].gen -> adopt(me, gen, r0, r1, known)
#ifdef BROKEN_GENERATION
       :: else ->
#else
       :: gen == p[me].gen ->
#endif
#ifndef BROKEN_KNOWN
          take(me, 0, r0); take(me, 1, r1);
#endif
          claim(me, known)
#ifndef BROKEN_GENERATION
       :: else -> skip
#endif
       fi;
       r0 = 0; r1 = 0; known = 0; asked = 0; gen = 0
     }
  od
}
