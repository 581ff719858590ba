package kvcache

// Step is what a job's owner does next.
type Step uint8

// Steps of import and export jobs.
const (
	// Wait means that nothing can start until a result is reported.
	Wait Step = iota
	// MovePiece means fetching (import) or writing (export) one piece.
	MovePiece
	// Commit means handing the verified prefix to the engine (import) or
	// writing the manifest (export).
	Commit
	// Done means that the job has ended and its pin can be released.
	Done
)

// Import is the state of one import. The owner pins the kept prefix, then asks
// for steps and reports their results until Done. Blocks reach the engine in
// one commit of a verified prefix; everything else is recomputed.
type Import struct {
	verified    []bool
	width       int
	started     int
	outstanding int
	usable      int // pieces from the first failed one on are not used
	committing  bool
	done        bool
	committed   int
}

// NewImport returns an import of the given number of pieces, of which at most
// width are fetched at once.
func NewImport(pieces, width int) *Import {
	return &Import{verified: make([]bool, pieces), width: max(width, 1), usable: pieces}
}

// Next returns the next step, and the index of the piece for MovePiece.
func (m *Import) Next() (Step, int) {
	switch {
	case m.done:
		return Done, 0
	case m.committing:
		return Wait, 0
	case m.started < m.usable && m.outstanding < m.width:
		m.started++
		m.outstanding++
		return MovePiece, m.started - 1
	case m.outstanding > 0:
		return Wait, 0
	case m.Verified() == 0:
		m.done = true
		return Done, 0
	default:
		m.committing = true
		return Commit, 0
	}
}

// Moved reports a piece as fetched and verified, or as failed. A failed piece
// ends the usable prefix before it.
func (m *Import) Moved(piece int, ok bool) {
	m.outstanding--
	if ok {
		m.verified[piece] = true
		return
	}
	m.usable = min(m.usable, piece)
}

// Stop ends fetching, for example at the deadline. What is verified is still
// committed.
func (m *Import) Stop() { m.usable = min(m.usable, m.Verified()) }

// Verified returns the length of the verified prefix in pieces.
func (m *Import) Verified() int {
	for i, ok := range m.verified[:m.usable] {
		if !ok {
			return i
		}
	}
	return m.usable
}

// Committed reports the result of the commit.
func (m *Import) Committed(ok bool) {
	if !m.committing || m.done {
		return
	}
	m.done = true
	if ok {
		m.committed = m.Verified()
	}
}

// Result returns how many pieces the engine has taken.
func (m *Import) Result() int { return m.committed }

// Export is the state of one export: all pieces, then the manifest. After a
// failure the manifest is never written, so the pieces are never read.
type Export struct {
	pieces  int
	next    int
	failed  bool
	written bool
	done    bool
}

// NewExport returns an export of the given number of pieces.
func NewExport(pieces int) *Export { return &Export{pieces: pieces} }

// Next returns the next step, and the index of the piece for MovePiece.
func (m *Export) Next() (Step, int) {
	switch {
	case m.done || m.failed || m.pieces == 0:
		return Done, 0
	case m.next < m.pieces:
		return MovePiece, m.next
	default:
		return Commit, 0
	}
}

// Moved reports the result of the piece that Next returned.
func (m *Export) Moved(ok bool) {
	m.failed = m.failed || !ok
	m.next++
}

// Committed reports the result of writing the manifest.
func (m *Export) Committed(ok bool) {
	m.done = true
	m.written = ok && !m.failed && m.next >= m.pieces
}

// Written reports whether the export can be found by lookups.
func (m *Export) Written() bool { return m.written }
