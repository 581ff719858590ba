// Package route chooses the upstream for a prompt. A Table holds what one entry
// knows about all upstreams; it is owned by one duty, takes the current time
// and a seeded source of random numbers, and does no I/O.
package route

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// Policy is the way in which candidates are found and compared.
type Policy uint8

// Policies. Combined is the one in use; the others are baselines to measure
// it against.
const (
	// Combined compares hash neighbours, hinted holders and random draws by cost.
	Combined Policy = iota
	// LeastLoaded takes the upstream with the least load for its window. It
	// looks at every upstream with credits.
	LeastLoaded
	// AffinityOnly takes the first hash neighbour under the load bound.
	AffinityOnly
	// DirectoryOnly compares hinted holders and random draws by cost.
	DirectoryOnly
)

// String returns the name of the policy as used in settings and reports.
func (p Policy) String() string {
	return [...]string{"combined", "least_loaded", "affinity_only", "directory_only"}[p]
}

// Options tune a table.
type Options struct {
	Policy Policy
	// AffinityBlocks is how many first blocks of a prompt decide its place on
	// the hash ring.
	AffinityBlocks int
	// RingNeighbours is how many upstreams are taken from the ring.
	RingNeighbours int
	// LoadFactor bounds the load of a neighbour, as a multiple of the mean load
	// for its window.
	LoadFactor float64
	// HintEntries bounds the directory of hints; it is rounded up to a power of
	// two. An entry takes 64 bytes.
	HintEntries int
	// InitialRetention is how long upstreams are expected to keep cached blocks before
	// it was observed.
	InitialRetention time.Duration
	// BlockTransferBytes is the size of the kept cache of one block.
	BlockTransferBytes int
	// TransferSetupTime is the fixed time of a transfer from the kept-cache store.
	TransferSetupTime time.Duration
	// PrefillRate and LinkRate, in bytes a second, hold until a state gives
	// measured ones.
	PrefillRate float64
	LinkRate    float64
	// ServiceTime is the expected duration of a run where the state gives none.
	ServiceTime time.Duration
}

// DefaultOptions returns the options for the given size of a block's kept cache.
func DefaultOptions(blockTransferBytes int) Options {
	return Options{
		AffinityBlocks:     4,
		RingNeighbours:     2,
		LoadFactor:         1.25,
		HintEntries:        1 << 16,
		InitialRetention:   10 * time.Minute,
		BlockTransferBytes: blockTransferBytes,
		TransferSetupTime:  5 * time.Millisecond,
		PrefillRate:        100_000,
		LinkRate:           10_000_000,
		ServiceTime:        500 * time.Millisecond,
	}
}

// Member is one upstream of the bundle in force.
type Member struct {
	ID    core.UpstreamID
	Model core.ModelID
	// Version is the weight version that serves new requests on the upstream
	// under the view in force.
	Version core.WeightVersion
	// Closed upstreams take no new work: they or their failure domain are
	// drained, or their version is withdrawn.
	Closed bool
}

// State is what the agent of an upstream published.
type State struct {
	Upstream    core.UpstreamID
	Incarnation core.Incarnation
	CacheEpoch  uint64
	// Credits is how many calls may be sent until CreditExpiry; only urgent
	// calls may use the last UrgentCredits of them.
	Credits       int
	UrgentCredits int
	CreditExpiry  time.Time
	Window        int
	Running       int
	Queued        int
	QueueDelay    time.Duration
	Cold          bool
	Draining      bool
	// PrefillRate is in bytes of prompt text a second, LinkRate the free rate of
	// the kept-cache link in bytes a second; 0 means not measured.
	PrefillRate float64
	LinkRate    float64
	// Version serves new requests; Loaded are all versions held. An empty
	// Version says nothing.
	Version core.WeightVersion
	Loaded  []core.WeightVersion
	// StoredKeys lists the first 8 bytes, big-endian, of block keys stored lately.
	StoredKeys []uint64
}

// Request is a prompt that needs an upstream.
type Request struct {
	Scope core.Scope
	Class core.Class
	// Blocks are the keys of the prompt's full blocks under the scope's salt.
	Blocks      []core.BlockKey
	PromptBytes int
	// TriedUpstreams are upstreams of earlier attempts, which are not chosen again.
	TriedUpstreams []core.UpstreamID
	// Allow, if set, excludes the upstreams for which it returns false.
	Allow func(core.UpstreamID) bool
}

// Source is how the chosen upstream became a candidate.
type Source uint8

// Sources of candidates.
const (
	SourceRing Source = iota
	SourceHints
	SourceRandom
)

// String returns the name of the source as used in metrics.
func (s Source) String() string { return [...]string{"ring", "hints", "random"}[s] }

// Choice is the chosen upstream. One of its credits is spent.
type Choice struct {
	Upstream    core.UpstreamID
	Incarnation core.Incarnation
	Source      Source
	// HintedBlocks is the number of blocks that hints say the upstream holds, and
	// HintAge the age of that hint.
	HintedBlocks int
	HintAge      time.Duration
	// KeptBlocks is the number of blocks that the kept-cache store is thought to hold;
	// Import says that fetching them is expected to be cheaper than computing.
	KeptBlocks int
	Import     bool
	// ExpectedWait and ExpectedFirstToken are the expected times to admission and to the first
	// token.
	ExpectedWait       time.Duration
	ExpectedFirstToken time.Duration
}

// Refusal is why no upstream was chosen.
type Refusal uint8

// Refusals.
const (
	// RefusalNone means that there is a choice.
	RefusalNone Refusal = iota
	// RefusalNoMember means that no upstream serves the model's version.
	RefusalNoMember
	// RefusalNoCredit means that no allowed upstream has a live credit for the class.
	RefusalNoCredit
)

// String returns the name of the refusal as used in metrics and logs.
func (r Refusal) String() string { return [...]string{"chosen", "no_member", "no_credit"}[r] }

// RunResult is what a finished run tells about the cache of an upstream.
type RunResult struct {
	Upstream    core.UpstreamID
	Incarnation core.Incarnation
	// Blocks are the keys of the prompt and HeldBlocks is how many of them the
	// upstream now holds.
	Blocks     []core.BlockKey
	HeldBlocks int
	// HintedBlocks and HintAge are those of the choice, ReusedBlocks is how many blocks the
	// upstream did not recompute.
	HintedBlocks int
	HintAge      time.Duration
	ReusedBlocks int
}
