package kvcache

// Step is the next action of an import or export.
type Step uint8

// Steps of import and export jobs.
const (
	// StepWait means that no action can start until a result is recorded.
	StepWait Step = iota
	// StepTransferPiece means to fetch (import) or write (export) one piece.
	StepTransferPiece
	// StepCommit means to submit the verified prefix to the engine (import) or to write
	// the manifest (export).
	StepCommit
	// StepDone means that the import or export has finished, and that the caller of an
	// import can release its pin.
	StepDone
)

// ImportState is the state of one import. A piece is a block in a store. The caller
// pins the stored prefix, then repeatedly calls Next and records the results until
// StepDone. The engine receives the pieces before the first unverified one in a single
// commit. The remaining blocks are recomputed.
type ImportState struct {
	verified        []bool
	maxFetches      int
	startedPieces   int
	pendingPieces   int
	maxCommitPieces int // upper limit; also limits the fetches
	committing      bool
	done            bool
	committedPieces int
}

// NewImportState returns the state of an import of the given number of pieces, with at
// most maxFetches concurrent fetches.
func NewImportState(pieces, maxFetches int) *ImportState {
	return &ImportState{verified: make([]bool, pieces), maxFetches: max(maxFetches, 1), maxCommitPieces: pieces}
}

// Next starts the next step and returns it. For StepTransferPiece it also returns the
// index of the piece.
func (s *ImportState) Next() (Step, int) {
	switch {
	case s.done:
		return StepDone, 0
	case s.committing:
		return StepWait, 0
	case s.startedPieces < s.maxCommitPieces && s.pendingPieces < s.maxFetches:
		s.startedPieces++
		s.pendingPieces++
		return StepTransferPiece, s.startedPieces - 1
	case s.pendingPieces > 0:
		return StepWait, 0
	case s.VerifiedPieces() == 0:
		s.done = true
		return StepDone, 0
	default:
		s.committing = true
		return StepCommit, 0
	}
}

// RecordPiece records that a piece was fetched and verified, or that it failed. A
// failed piece and all later pieces are not committed.
func (s *ImportState) RecordPiece(piece int, ok bool) {
	s.pendingPieces--
	if ok {
		s.verified[piece] = true
		return
	}
	s.maxCommitPieces = min(s.maxCommitPieces, piece)
}

// StopFetching prevents further fetches. The pieces before the first unverified one are
// still committed.
func (s *ImportState) StopFetching() { s.maxCommitPieces = min(s.maxCommitPieces, s.VerifiedPieces()) }

// VerifiedPieces returns the length of the verified prefix in pieces.
func (s *ImportState) VerifiedPieces() int {
	for i, ok := range s.verified[:s.maxCommitPieces] {
		if !ok {
			return i
		}
	}
	return s.maxCommitPieces
}

// RecordCommit records the result of the commit.
func (s *ImportState) RecordCommit(ok bool) {
	if !s.committing || s.done {
		return
	}
	s.done = true
	if ok {
		s.committedPieces = s.VerifiedPieces()
	}
}

// CommittedPieces returns the number of pieces that the engine has accepted.
func (s *ImportState) CommittedPieces() int { return s.committedPieces }

// ExportState is the state of one export, which writes all pieces and then the
// manifest. After a failed piece the manifest is not written, so that no reader finds
// the pieces.
type ExportState struct {
	pieceCount      int
	nextPiece       int
	failed          bool
	manifestWritten bool
	done            bool
}

// NewExportState returns the state of an export of the given number of pieces.
func NewExportState(pieces int) *ExportState { return &ExportState{pieceCount: pieces} }

// Next returns the next step without changing the state. For StepTransferPiece it also
// returns the index of the piece.
func (s *ExportState) Next() (Step, int) {
	switch {
	case s.done || s.failed || s.pieceCount == 0:
		return StepDone, 0
	case s.nextPiece < s.pieceCount:
		return StepTransferPiece, s.nextPiece
	default:
		return StepCommit, 0
	}
}

// RecordPiece records whether the piece that Next returned was written.
func (s *ExportState) RecordPiece(ok bool) {
	s.failed = s.failed || !ok
	s.nextPiece++
}

// RecordManifest records the result of writing the manifest.
func (s *ExportState) RecordManifest(ok bool) {
	s.done = true
	s.manifestWritten = ok && !s.failed && s.nextPiece >= s.pieceCount
}

// ManifestWritten reports whether the manifest was written. If it was, lookups find the
// prefix.
func (s *ExportState) ManifestWritten() bool { return s.manifestWritten }
