// Package stores contains the clients of the services of the platform: a
// transactional table, an object store and a membership list of VMs.
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

// Row is one row of the table. Version is 0 if the row does not exist and increases
// by one with each write.
type Row struct {
	Key     Key
	Version uint64
	Value   []byte
}

// Write writes a row on the condition that its current version is ExpectedVersion.
// The value 0 requires that the row does not exist.
type Write struct {
	Key             Key
	ExpectedVersion uint64
	Value           []byte
	// TTL is the time after which the table may remove the row. A row with TTL 0
	// does not expire.
	TTL time.Duration
}

// Table is the platform's transactional table. Errors have the following kinds:
//   - Unavailable: a read failed, or no effect of a transaction was observed. A
//     delayed request of the transaction may still take effect. A retry with the same
//     operation id is safe, because the transaction takes effect at most once.
//   - Conflict: the condition of a write was not met. Nothing was written.
//   - Exhausted: the request budget was used up before anything was sent.
//   - Unknown: the response was lost and the operation id could not be read back.
//   - Invalid: the arguments are wrong or the table rejected the request.
//   - Corrupt: a row that was read is malformed.
type Table interface {
	// Get reads one row with strong consistency. If the row does not exist, the
	// result has Version 0.
	Get(ctx context.Context, key Key) (Row, error)
	// List reads rows of a partition in the order of their sort keys. It returns at
	// most limit rows, and only rows with a sort key greater than afterSortKey.
	List(ctx context.Context, partition, afterSortKey string, limit int) ([]Row, error)
	// Transact applies all writes or none. The number of writes must not exceed
	// MaxTransactionWrites. The operation id is written in the same transaction. After
	// a lost response, it shows whether the transaction took effect.
	Transact(ctx context.Context, operationID string, writes []Write) error
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Put writes an object and replaces an existing object of the same name.
	Put(ctx context.Context, name string, body []byte) error
	// Get reads an object. If it does not exist, the error has the kind NotFound.
	Get(ctx context.Context, name string) ([]byte, error)
}

// VMState is the state of a VM in the membership list.
type VMState string

// States of a VM in the membership list. VMLeaving is the state of a VM that is
// shutting down.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one element of the membership list. The platform updates the list with a
// delay.
type VM struct {
	Node          core.NodeID
	Role          string // "entry", "agent" or "store"
	FailureDomain core.FailureDomain
	State         VMState
	Incarnation   core.Incarnation
	// Address is the address (IP:port) of the process of this system on the VM.
	Address string
}

// VMLister reads the platform's membership list of VMs.
type VMLister interface {
	List(ctx context.Context) ([]VM, error)
}
