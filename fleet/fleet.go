// Package fleet maintains this process's view of the operators' configuration, the
// listed upstreams and the system's other processes. One duty for each table polls
// the platform's store, one duty owns the rows and publishes an immutable view, and
// further duties pull rows from other processes. Only a few processes of each failure
// domain, the readers, poll the store. The others pull from the readers. A process
// also pulls from peers while the store is unavailable to it, and from any process
// with a newer epoch. The last duty registers this process as a member.
package fleet

import (
	"context"
	"time"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
)

// Table names a table of the platform's store.
type Table string

// MembersTable is the table in which the system's processes register themselves.
const MembersTable Table = "members"

// Tables contains the names of the platform's tables.
type Tables struct {
	Operator  Table
	Upstreams Table
	// Status is written by the system and read by the operator.
	Status Table
}

// Row is one row of a table. Versions are assigned from one counter for all tables
// of the store. They are comparable within one generation of the store's content only.
type Row struct {
	Table   Table
	Key     string
	Value   []byte
	Version uint64
	Removed bool
}

// StoreResponse is the result of a read or a transaction of the store.
type StoreResponse struct {
	Rows []Row
	// Version is the store's version at the time of the response.
	Version uint64
	// Generation is the generation of the store's content. Versions of different
	// generations are not comparable.
	Generation core.Generation
	// Now is the reading of the store's monotonic clock.
	Now time.Duration
}

// Transaction writes rows if all conditions are met. A condition contains the
// version that a row must have; 0 means that the row must not exist.
type Transaction struct {
	Conditions []Row
	Puts       []Row
	Removes    []Row
}

// Store is the platform's metadata store.
type Store interface {
	// Rows returns all rows of a table.
	Rows(ctx context.Context, table Table) (StoreResponse, error)
	// Changes waits up to the given time for changes after a version.
	Changes(ctx context.Context, table Table, after uint64, wait time.Duration) (StoreResponse, error)
	// Commit writes rows in one transaction.
	Commit(ctx context.Context, tx Transaction) (StoreResponse, error)
}

// RequestedWeights is a weight version that the operator requested for a model.
type RequestedWeights struct {
	Model   core.ModelID
	Version catalog.WeightNumber
}

// DecodedRow is the decoded value of a row. At most one field is set. Package fleet
// does not decode removed rows, so that no field is set for them, unless the previous
// value is retained; see state.acceptsConfig, state.retainRemoved and carryOver.
type DecodedRow struct {
	Config *catalog.Config
	// Upstream is nil in package fleet when its row was removed. If the row was removed
	// during a store outage or shortly after it, an upstream that is not draining is
	// retained for a limited time; see state.retainRemoved.
	Upstream *catalog.Upstream
	// Evacuated is a failure domain that must not be used any more.
	Evacuated core.FailureDomain
	Weights   *RequestedWeights
	// Rollout is nil in package fleet when its row was removed.
	Rollout *catalog.Rollout
	// Status is the rollout status last written for the operator.
	Status *catalog.RolloutStatus
	// Member is decoded by package fleet itself.
	Member *Member
}

// ActiveRollout is a rollout that the operator requested.
type ActiveRollout struct {
	catalog.Rollout
	// RequestRowVersion is the version of the request's row. RequestedAt is the time
	// at which this process received that request; zero when the request is older than
	// the process. It stays when the same request is in restored content of the store.
	RequestRowVersion uint64
	RequestedAt       time.Time
	// Status is the status last written for the operator; zero when there is none.
	Status catalog.RolloutStatus
}

// Decoder decodes rows of the operator, upstreams and status tables. The error has
// the kind errs.Invalid for rows that do not have the expected format.
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

// View is an immutable snapshot of the rows that the process has received.
type View struct {
	// Generation and Epoch are the position of the newest row of the operator and
	// upstreams tables; Epoch is 0 when there is none. Processes exchange them in their
	// messages.
	Generation core.Generation
	Epoch      core.Epoch
	// Config is nil until a configuration is received.
	Config *catalog.Config
	// Upstreams are sorted by id.
	Upstreams []catalog.UpstreamRow
	Evacuated map[core.FailureDomain]bool
	Weights   map[core.ModelID]catalog.WeightHistory
	Rollouts  map[core.ServiceID]ActiveRollout
	Members   []Member
	// MembersGeneration is the generation of the members table.
	MembersGeneration core.Generation
	// ExpiredMembers are the rows of processes that no longer renew them, or that are
	// known to have left although restored content of the store lists them.
	ExpiredMembers []Row
	// Departures are the times at which this process received the removal of a
	// member's row, for members that have not registered again, oldest first.
	Departures []time.Time
}
