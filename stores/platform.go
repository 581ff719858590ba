// Package stores talks to the services that the platform provides: a
// transactional table, an object store and a list of VMs.
package stores

import (
	"context"
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// Key identifies a row by partition and sort key.
type Key struct {
	Partition string
	Sort      string
}

// Row is one row of the table. Version is 0 for a row that does not exist and
// grows by one with each write.
type Row struct {
	Key     Key
	Version uint64
	Value   []byte
}

// Write puts a row if its current version is ExpectedVersion; 0 requires that the
// row does not exist.
type Write struct {
	Key             Key
	ExpectedVersion uint64
	Value           []byte
	// TTL is after how long the table may remove the row; 0 keeps it.
	TTL time.Duration
}

// Table is the platform's transactional table. Errors have the kinds
// Unavailable (nothing is known to have happened and a retry is safe with the
// same operation id), Conflict (a condition failed, nothing was written),
// Exhausted (request budget used up, nothing was sent) and Unknown (the answer
// was lost and the operation id could not be read back).
type Table interface {
	// Get reads one row with strong consistency. A missing row has Version 0.
	Get(ctx context.Context, key Key) (Row, error)
	// List reads the rows of a partition whose sort key is greater than after,
	// in order, at most limit of them.
	List(ctx context.Context, partition, after string, limit int) ([]Row, error)
	// Transact applies all writes or none, at most MaxTransactionWrites of them. The operation id
	// is written in the same transaction, so that a lost answer can be told
	// from a failure.
	Transact(ctx context.Context, operationID string, writes []Write) error
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Put stores an object, replacing one of the same name.
	Put(ctx context.Context, name string, body []byte) error
	// Get reads an object; a missing one gives an error of kind NotFound.
	Get(ctx context.Context, name string) ([]byte, error)
}

// VMState is the state of a VM on the platform's list.
type VMState string

// States of a VM on the list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list, which lags behind the truth.
type VM struct {
	Node          core.NodeID
	Role          string // "entry", "agent" or "store"
	FailureDomain core.FailureDomain
	State         VMState
	Incarnation   core.Incarnation
	// Address is the IP:port of the VM's process of this system.
	Address string
}

// VMLister reads the platform's list of VMs.
type VMLister interface {
	List(ctx context.Context) ([]VM, error)
}
