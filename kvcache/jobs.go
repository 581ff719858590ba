package kvcache

// Step is what a job's owner does next.
type Step uint8

// Steps of import and export jobs.
const (
	// StepWait means that nothing can start until a result is reported.
	StepWait Step = iota
	// StepTransferPiece means fetching (import) or writing (export) one piece.
	StepTransferPiece
	// StepCommit means handing the verified prefix to the engine (import) or
	// writing the manifest (export).
	StepCommit
	// StepDone means that the job has ended and its pin can be released.
	StepDone
)

// ImportState is the state of one import. The owner pins the kept prefix, then asks
// for steps and reports their results until Done. Blocks reach the engine in
// one commit of a verified prefix; everything else is recomputed.
type ImportState struct {
	verified        []bool
	maxFetches      int
	startedPieces   int
	pendingPieces   int
	usablePieces    int // pieces from the first failed one on are not used
	committing      bool
	done            bool
	committedPieces int
}

// NewImportState returns an import of the given number of pieces, of which at most
// width are fetched at once.
func NewImportState(pieces, maxFetches int) *ImportState {
	return &ImportState{verified: make([]bool, pieces), maxFetches: max(maxFetches, 1), usablePieces: pieces}
}

// Next returns the next step, and the index of the piece for MovePiece.
func (m *ImportState) Next() (Step, int) {
	switch {
	case m.done:
		return StepDone, 0
	case m.committing:
		return StepWait, 0
	case m.startedPieces < m.usablePieces && m.pendingPieces < m.maxFetches:
		m.startedPieces++
		m.pendingPieces++
		return StepTransferPiece, m.startedPieces - 1
	case m.pendingPieces > 0:
		return StepWait, 0
	case m.VerifiedPieces() == 0:
		m.done = true
		return StepDone, 0
	default:
		m.committing = true
		return StepCommit, 0
	}
}

// RecordPiece reports a piece as fetched and verified, or as failed. A failed piece
// ends the usable prefix before it.
func (m *ImportState) RecordPiece(piece int, ok bool) {
	m.pendingPieces--
	if ok {
		m.verified[piece] = true
		return
	}
	m.usablePieces = min(m.usablePieces, piece)
}

// StopFetching ends fetching, for example at the deadline. What is verified is still
// committed.
func (m *ImportState) StopFetching() { m.usablePieces = min(m.usablePieces, m.VerifiedPieces()) }

// VerifiedPieces returns the length of the verified prefix in pieces.
func (m *ImportState) VerifiedPieces() int {
	for i, ok := range m.verified[:m.usablePieces] {
		if !ok {
			return i
		}
	}
	return m.usablePieces
}

// RecordCommit reports the result of the commit.
func (m *ImportState) RecordCommit(ok bool) {
	if !m.committing || m.done {
		return
	}
	m.done = true
	if ok {
		m.committedPieces = m.VerifiedPieces()
	}
}

// CommittedPieces returns how many pieces the engine has taken.
func (m *ImportState) CommittedPieces() int { return m.committedPieces }

// ExportState is the state of one export: all pieces, then the manifest. After a
// failure the manifest is never written, so the pieces are never read.
type ExportState struct {
	pieceCount      int
	nextPiece       int
	failed          bool
	manifestWritten bool
	done            bool
}

// NewExportState returns an export of the given number of pieces.
func NewExportState(pieces int) *ExportState { return &ExportState{pieceCount: pieces} }

// Next returns the next step, and the index of the piece for MovePiece.
func (m *ExportState) Next() (Step, int) {
	switch {
	case m.done || m.failed || m.pieceCount == 0:
		return StepDone, 0
	case m.nextPiece < m.pieceCount:
		return StepTransferPiece, m.nextPiece
	default:
		return StepCommit, 0
	}
}

// RecordPiece reports the result of the piece that Next returned.
func (m *ExportState) RecordPiece(ok bool) {
	m.failed = m.failed || !ok
	m.nextPiece++
}

// RecordManifest reports the result of writing the manifest.
func (m *ExportState) RecordManifest(ok bool) {
	m.done = true
	m.manifestWritten = ok && !m.failed && m.nextPiece >= m.pieceCount
}

// ManifestWritten reports whether the export can be found by lookups.
func (m *ExportState) ManifestWritten() bool { return m.manifestWritten }
