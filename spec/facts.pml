/*
 * Permissions and restrictions: merge, restart and table outage.
 *
 * Three processes, each in a failure domain of its own, and one subject (a
 * failure domain, an upstream or a weight version). The table may go away at
 * any time. A process that restarts has forgotten everything.
 *
 * Properties (assertions in serve, become_ready and permit):
 *   - a process starts no new work on a subject while a restriction that it
 *     knows holds;
 *   - a process that becomes ready after its restart is not behind any epoch
 *     that another process knew when it restarted, also during an outage (when
 *     every process that knew an epoch restarts within one outage, that epoch
 *     is not known anywhere until the table is back; MAX_RESTARTS leaves this
 *     out);
 *   - an agent accepts no work under an epoch older than its own;
 *   - two permissions never get the same epoch.
 *
 * TestFactsFollowSpecification in package facts drives the Go code through
 * these transitions.
 *
 * Broken variants (each must fail):
 *   BROKEN_READY     ready during an outage without hearing from peers
 *   BROKEN_LIFT      a higher epoch lifts a restriction without clearing it
 *   BROKEN_EPOCH     an agent accepts work under any epoch
 *   BROKEN_PERMIT    permissions are written without the condition
 */
#define N 3
#define MAX_RESTARTS 1
/* Two restrictions together with three epochs take over 4 minutes on a busy
 * machine. check.sh searches one restriction with three epochs, without which
 * BROKEN_PERMIT does not fail, and two restrictions with two epochs. */
#ifndef MAX_EPOCH
#define MAX_EPOCH 3
#define MAX_RESTRICTIONS 1
#endif
#define MAX_OUTAGES 1

byte t_epoch = 1;
byte t_cleared = 0;
bool up = true;
byte t_writes[MAX_EPOCH + 1];   /* permissions written for each epoch */

byte epoch[N];
byte cleared[N];
byte stamp[N];      /* 0: no restriction known */
bool ready[N];
bool heard[N * N];  /* heard[i*N+j]: i heard j since its start */
bool known_restricted[N]; /* ghost: a restriction was merged and not cleared since */
byte floor[N];      /* ghost: epoch known elsewhere at the last restart */
byte restarts = 0;
byte restrictions = 0;
byte outages = 0;

#ifdef BROKEN_PERMIT
#define CONDITION(i) true
#else
#define CONDITION(i) (epoch[i] == t_epoch)
#endif
#ifdef BROKEN_EPOCH
#define ACCEPTED(sender, receiver) true
#else
#define ACCEPTED(sender, receiver) (epoch[sender] >= epoch[receiver])
#endif
#ifdef BROKEN_LIFT
#define OPEN(i) !(HOLDS(i) && epoch[i] <= stamp[i])
#else
#define OPEN(i) !HOLDS(i)
#endif
#ifdef BROKEN_READY
#define HEARD_ALL(i) true
#else
#define HEARD_ALL(i) (heard[i * N + (i + 1) % N] && heard[i * N + (i + 2) % N])
#endif
#define HOLDS(i) (stamp[i] > 0 && stamp[i] >= cleared[i])

/* control.(*Control).Permit with facts.(*Head).Next and Clear: a conditional
 * transaction raises the epoch. */
inline permit(i, clears) {
  {
    if
    :: up && ready[i] && t_epoch < MAX_EPOCH && CONDITION(i) ->
       byte next_epoch = epoch[i] + 1;
       t_writes[next_epoch]++;
       assert(t_writes[next_epoch] <= 1);
       t_epoch = next_epoch;
       if
       :: clears -> t_cleared = next_epoch; cleared[i] = next_epoch; known_restricted[i] = false
       :: else -> skip
       fi;
       epoch[i] = next_epoch
    :: else -> skip
    fi
  }
}

/* facts.(*Snapshot).Delta and facts.(*Store).Merge, connected by
 * control.(*Control).exchangeFacts: the higher epoch wins with what it cleared,
 * stamps merge by maximum. gossip.(*Readiness).ObservePeerEpoch records the
 * sender's failure domain. */
inline merge(from, into) {
  {
    heard[into * N + from] = (!ready[into] && (heard[into * N + from] || epoch[from] > 0));
    if
    :: epoch[from] > epoch[into] ->
       epoch[into] = epoch[from];
       if
       :: cleared[from] > cleared[into] ->
          cleared[into] = cleared[from];
          if
          :: stamp[into] < cleared[into] -> known_restricted[into] = false
          :: else -> skip
          fi
       :: else -> skip
       fi
    :: else -> skip
    fi;
    if
    :: stamp[from] > stamp[into] ->
       stamp[into] = stamp[from];
       if
       :: HOLDS(into) -> known_restricted[into] = true
       :: else -> skip
       fi
    :: else -> skip
    fi
  }
}

/* control.(*Control).Restrict and facts.(*Store).Merge: holds at once, without
 * the table. */
inline restrict(i) {
  {
    if
    :: ready[i] && restrictions < MAX_RESTRICTIONS && stamp[i] < epoch[i] ->
       restrictions++; stamp[i] = epoch[i]; known_restricted[i] = HOLDS(i)
    :: else -> skip
    fi
  }
}

/* gossip.(*Readiness).Ready after ObserveTableEpoch, which follows
 * control.(*readerDuty).readHead, or during an outage after ObservePeerEpoch for
 * every failure domain. */
inline become_ready(i) {
  {
    if
    :: up ->
       epoch[i] = t_epoch; cleared[i] = t_cleared; ready[i] = true;
       known_restricted[i] = (known_restricted[i] && HOLDS(i));
       assert(epoch[i] >= floor[i])
    :: !up && epoch[i] > 0 && HEARD_ALL(i) ->
       ready[i] = true;
       known_restricted[i] = (known_restricted[i] && HOLDS(i));
       heard[i * N] = false; heard[i * N + 1] = false; heard[i * N + 2] = false;
       assert(epoch[i] >= floor[i])
    :: else -> skip
    fi
  }
}

/* agent.(*Agent).checkEpoch and facts.(*View).UpstreamAllowed,
 * VersionAllowed. */
inline serve(entry_node, agent_node) {
  {
    if
    :: ready[entry_node] && ready[agent_node] && ACCEPTED(entry_node, agent_node) && OPEN(agent_node) ->
       assert(!known_restricted[agent_node]);
       assert(epoch[entry_node] >= epoch[agent_node])
    :: else -> skip
    fi
  }
}

/* A new process: facts.NewStore and gossip.NewReadiness. */
inline restart(i) {
  {
    if
    :: restarts < MAX_RESTARTS ->
       restarts++;
       floor[i] = epoch[(i + 1) % N];
       if
       :: epoch[(i + 2) % N] > floor[i] -> floor[i] = epoch[(i + 2) % N]
       :: else -> skip
       fi;
       epoch[i] = 0; cleared[i] = 0; stamp[i] = 0; ready[i] = false;
       known_restricted[i] = false;
       heard[i * N + 0] = false; heard[i * N + 1] = false; heard[i * N + 2] = false
    :: else -> skip
    fi
  }
}

active [N] proctype node() {
  byte me = _pid;
  do
  :: atomic { !ready[me] -> become_ready(me) }
  :: atomic { ready[me] -> permit(me, false) }
  :: atomic { ready[me] && stamp[me] > 0 -> permit(me, true) }
  :: atomic { ready[me] -> restrict(me) }
  :: atomic { true -> merge(((me + 1) % N), me) }
  :: atomic { true -> merge(((me + 2) % N), me) }
  :: atomic { true -> serve(me, ((me + 1) % N)) }
  :: atomic { true -> restart(me) }
  od
}

active proctype outage() {
  do
  :: atomic { up && outages < MAX_OUTAGES -> outages++; up = false }
  :: atomic { !up -> up = true }
  od
}
