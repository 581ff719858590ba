package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/control"
)

// Guards against a listing of the audit trail that never ends, because the last page
// names a next one.
func TestLastAuditPageHasNoNextPage(t *testing.T) {
	rows := []control.AuditEntry{{Cursor: "a"}, {Cursor: "b"}}
	const limit = 2
	entries, next := auditPage(rows, limit)
	require.Len(t, entries, limit)
	require.Equal(t, "b", next)
	entries, next = auditPage(rows[:1], limit)
	require.Len(t, entries, 1)
	require.Empty(t, next)
	entries, next = auditPage(nil, limit)
	require.Empty(t, entries)
	require.Empty(t, next)
}
