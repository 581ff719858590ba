// Package fleet keeps what this process knows of the operators' configuration,
// of the listed upstreams and of the system's other processes. One duty for
// each table follows the platform's store, one duty owns the rows and
// publishes an immutable view, and one learns from peers while the store does
// not serve this process.
package fleet

import (
	"context"
	"time"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
)

// Table names a table of the platform's store.
type Table string

// MembersTable is the table in which the system's processes list themselves.
const MembersTable Table = "members"

// Tables names the tables that others write to.
type Tables struct {
	Operator  Table
	Upstreams Table
	// Status is written by the system and read by the operator.
	Status Table
}

// Row is one row. Versions come from one counter of the whole store.
type Row struct {
	Table   Table
	Key     string
	Value   []byte
	Version uint64
	Removed bool
}

// StoreResponse is an answer of the store.
type StoreResponse struct {
	Rows []Row
	// Version is the store's version at the answer.
	Version uint64
	// Now is the store's steady clock.
	Now time.Duration
}

// Transaction writes rows if all conditions hold. A condition names the
// version that a row must have, 0 for none.
type Transaction struct {
	Conditions []Row
	Puts       []Row
	Removes    []Row
}

// Store is the platform's store.
type Store interface {
	// Rows returns a whole table.
	Rows(ctx context.Context, table Table) (StoreResponse, error)
	// Changes waits for changes after a version.
	Changes(ctx context.Context, table Table, after uint64, wait time.Duration) (StoreResponse, error)
	// Commit writes rows in one transaction.
	Commit(ctx context.Context, tx Transaction) (StoreResponse, error)
}

// RequestedWeights is a weight version that the operator named.
type RequestedWeights struct {
	Model   core.ModelID
	Version catalog.WeightNumber
}

// DecodedRow is what a row says. At most one field is set.
type DecodedRow struct {
	Config *catalog.Config
	// Upstream has no service when its row was removed.
	Upstream  *catalog.Upstream
	Evacuated core.FailureDomain
	Weights   *RequestedWeights
	// Rollout has no version when its row was removed.
	Rollout *catalog.Rollout
	// Status is what the operator was told of a rollout.
	Status *catalog.RolloutStatus
}

// ActiveRollout is a rollout that the operator ordered.
type ActiveRollout struct {
	catalog.Rollout
	// RequestRevision is the revision of the request's row, RequestedAt when it was first seen;
	// zero when the order is older than this process.
	RequestRevision uint64
	RequestedAt     time.Time
	// Status is what the operator was told last, StatusRevision that of its row; 0 when
	// there is none.
	Status         catalog.RolloutStatus
	StatusRevision uint64
}

// Decoder decodes rows of the operator's, the upstreams' and the status tables. The error
// has the kind errs.Invalid for rows of unknown writers.
type Decoder interface {
	Decode(row Row) (DecodedRow, error)
}

// Member is a process of the system.
type Member struct {
	Node        core.NodeID
	Address     string
	Domain      core.FailureDomain
	Incarnation core.Incarnation
}

// View is an immutable snapshot of what the process knows.
type View struct {
	// Epoch is the revision of the newest row of the operators' and the upstreams'
	// tables, 0 when none is known. Processes tell it to one another.
	Epoch core.Epoch
	// Config is nil until a configuration is known.
	Config *catalog.Config
	// Upstreams are in the order of their ids.
	Upstreams []catalog.ListedUpstream
	Evacuated map[core.FailureDomain]bool
	Weights   map[core.ModelID]catalog.WeightHistory
	Rollouts  map[core.ServiceID]ActiveRollout
	Members   []Member
	// ExpiredMembers are rows of processes that no longer renew them.
	ExpiredMembers []Row
	// Departures are when processes left that have not registered again, oldest
	// first.
	Departures []time.Time
}
