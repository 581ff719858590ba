/*
 * Cache blocks: export, pin, free and import.
 *
 * One block slot of an engine, one kept-cache store, two scopes (two
 * workspaces, or two weight versions of one). Export writes the piece, then
 * the manifest. The store may lose or damage the piece at any time. The
 * engine may free a slot that is not pinned and reuse it for another scope.
 *
 * Properties (assertions in use_block): a run uses a block only if it is whole
 * and of the run's own scope.
 *
 * TestBlocksFollowSpecification in package kvcache drives the Go code through
 * these transitions.
 *
 * Broken variants (each must fail):
 *   BROKEN_MANIFEST  an import takes pieces that no manifest lists
 *   BROKEN_CHECKSUM  an import does not verify the piece
 *   BROKEN_PIN       a block is freed while it is pinned
 *   BROKEN_SCOPE     the key leaves the scope out
 *   BROKEN_COMMIT    an import makes the block visible before it is whole
 */
#define SCOPES 2
#define NONE 255

/* Engine slot. */
byte slot_scope = NONE;   /* scope whose key finds the slot */
bool slot_whole = false;
byte slot_content = NONE; /* scope that the content belongs to */
byte pins = 0;

/* Store: one piece and one manifest for each scope. */
bool manifest[SCOPES];
bool piece[SCOPES];
bool piece_good[SCOPES];

#ifdef BROKEN_SCOPE
#define FINDS(s) (slot_scope != NONE)
#else
#define FINDS(s) (slot_scope == s)
#endif

#ifdef BROKEN_MANIFEST
#define LISTED(s) true
#define VERIFIED(s) true
#else
#define LISTED(s) manifest[s]
#define VERIFIED(s) piece_good[s]
#endif

/* The engine's prefix cache, which finds blocks by core.BlockKeys under
 * core.CacheScope.Salt. */
inline use_block(s) {
  atomic {
    if
    :: FINDS(s) -> pins++
    :: else -> goto done
    fi
  };
  atomic {
    assert(slot_whole);
    assert(slot_content == s);
    pins--
  }
}

/* The engine's eviction. */
inline free_slot() {
  atomic {
    if
#ifdef BROKEN_PIN
    :: slot_scope != NONE
#else
    :: slot_scope != NONE && pins == 0
#endif
       -> slot_scope = NONE; slot_whole = false; slot_content = NONE
    :: else -> skip
    fi
  }
}

/* The engine computes the block itself. */
inline compute(s) {
  atomic {
    if
    :: slot_scope == NONE -> slot_scope = s; slot_content = s; slot_whole = true
    :: else -> skip
    fi
  }
}

/* kvcache.(*ExportState).Next, RecordPiece and RecordManifest, called by
 * transfer.(*exporter).exportPrefix: pieces first, then the manifest. */
inline export_block(s) {
  atomic {
    if
    :: slot_scope == s && slot_whole -> pins++; piece[s] = true; piece_good[s] = false
    :: else -> goto done
    fi
  };
  atomic { piece_good[s] = (slot_content == s) };
  atomic { manifest[s] = true; pins-- }
}

/* cachestore.(*Client).LookupManifest, then kvcache.(*ImportState).Next,
 * RecordPiece and RecordCommit, called by transfer.(*Handle).fetchAndCommit: look
 * up, fetch, verify, commit once. */
inline import_block(s) {
  atomic {
    if
    :: LISTED(s) && piece[s] -> fetched = piece_good[s]; good = VERIFIED(s)
    :: else -> goto done
    fi
  };
#ifndef BROKEN_CHECKSUM
  if
  :: !good -> goto done
  :: else -> skip
  fi;
#endif
#ifdef BROKEN_COMMIT
  atomic {
    if
    :: slot_scope == NONE -> slot_scope = s; slot_content = s; slot_whole = false
    :: else -> goto done
    fi
  };
  atomic { if :: slot_scope == s -> slot_whole = fetched :: else -> skip fi }
#else
  atomic {
    if
    :: slot_scope == NONE -> slot_scope = s; slot_content = s; slot_whole = fetched
    :: else -> skip
    fi
  }
#endif
}

/* Two runs share scope 0. */
active [SCOPES + 1] proctype runs() {
  byte me = _pid % SCOPES;
  bool good;
  bool fetched;
  do
  :: true -> use_block(me)
  :: true -> compute(me)
  :: true -> export_block(me)
  :: true -> import_block(me)
  :: skip;
done:
     skip
  od
}

active proctype eviction() {
  do
  :: true -> free_slot()
  od
}

/* Losses and damage, and kvcache.(*PrefixSet).EvictLowest, called by
 * transfer.(*transferDuty).handleFullStore. */
active proctype store_faults() {
  byte s = 0;
  do
  :: s = 1 - s
  :: atomic { piece[s] = false }
  :: atomic { piece_good[s] = false }
  :: atomic { manifest[s] = false }
  od
}
