// Package route chooses the upstream for a prompt. A Table holds the routing
// state of one entry for all upstreams. It is owned by one duty, receives the
// current time and a seeded source of random numbers from its caller, and does
// no I/O.
//
// Kept cache is KV cache that was exported from an engine to a separate kept-cache
// store, from which any upstream can import it.
package route

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// Policy determines how candidate upstreams are found and compared.
type Policy uint8

// Policies. Entries use Combined. The others are baselines for measurements.
//
// A hash ring neighbour is an upstream that follows the position of the prompt on
// the hash ring. A holder is an upstream that holds a prefix of the prompt
// according to the hint directory, which maps block keys to upstreams.
const (
	// Combined compares hash ring neighbours, holders and random upstreams by
	// cost.
	Combined Policy = iota
	// LeastLoaded chooses the upstream with the lowest load relative to its
	// window. It examines every upstream that has credits.
	LeastLoaded
	// AffinityOnly chooses the first hash ring neighbour within the load bound.
	AffinityOnly
	// DirectoryOnly compares holders and random upstreams by cost.
	DirectoryOnly
)

// String returns the name of the policy as used in settings and reports.
func (p Policy) String() string {
	return [...]string{"combined", "least_loaded", "affinity_only", "directory_only"}[p]
}

// Options configures a table.
type Options struct {
	Policy Policy
	// AffinityBlocks is the number of leading blocks of a prompt that determine
	// its position on the hash ring.
	AffinityBlocks int
	// HashRingNeighbours is the maximum number of candidates from the hash ring.
	HashRingNeighbours int
	// LoadFactor is the maximum load of a hash ring neighbour relative to its
	// window, as a multiple of the total load divided by the total window of all
	// upstreams that serve the same version of the model.
	LoadFactor float64
	// HintCapacity is the number of records of the hint directory, rounded up to a
	// power of two. A record takes 64 bytes.
	HintCapacity int
	// InitialRetention is the time for which an upstream is assumed to retain
	// cached blocks until observations are available.
	InitialRetention time.Duration
	// KeptCacheBytesPerBlock is the size of the kept cache of one block.
	KeptCacheBytesPerBlock int
	// TransferSetupTime is the fixed overhead of an import from the kept-cache
	// store.
	TransferSetupTime time.Duration
	// PrefillRate and LinkRate, in bytes per second, are used for upstreams whose
	// published state contains no measured rates.
	PrefillRate float64
	LinkRate    float64
	// ServiceTime is the expected duration of a run on upstreams that publish no
	// queue delay.
	ServiceTime time.Duration
}

// DefaultOptions returns the default options for the given size of a block's
// kept cache.
func DefaultOptions(blockTransferBytes int) Options {
	return Options{
		AffinityBlocks:         4,
		HashRingNeighbours:     2,
		LoadFactor:             1.25,
		HintCapacity:           1 << 16,
		InitialRetention:       10 * time.Minute,
		KeptCacheBytesPerBlock: blockTransferBytes,
		TransferSetupTime:      5 * time.Millisecond,
		PrefillRate:            100_000,
		LinkRate:               10_000_000,
		ServiceTime:            500 * time.Millisecond,
	}
}

// UpstreamConfig describes one upstream of the current configuration.
type UpstreamConfig struct {
	ID    core.UpstreamID
	Model core.ModelID
	// Version is the weight version with which the upstream serves new requests
	// according to the current facts.View of the entry.
	Version core.WeightVersion
	// Closed is set for upstreams that accept no new calls because they or
	// their failure domain are drained or their version is withdrawn.
	Closed bool
}

// State is the state of an upstream as published by its agent.
type State struct {
	Upstream    core.UpstreamID
	Incarnation core.Incarnation
	CacheEpoch  uint64
	// Credits is the number of calls that may be sent before CreditExpiry.
	// UrgentCredits of them are reserved for urgent calls.
	Credits       int
	UrgentCredits int
	CreditExpiry  time.Time
	// Window is the size of the admission window, which is the maximum number of
	// concurrent runs.
	Window  int
	Running int
	Queued  int
	// QueueDelay is the expected time to admission of one more urgent call.
	QueueDelay time.Duration
	// Cold is set while the window is smaller than the minimum window of a warm
	// upstream. It has no effect on the choice.
	Cold     bool
	Draining bool
	// PrefillRate is in bytes of prompt text per second. LinkRate is the free
	// bandwidth of the kept-cache link in bytes per second. 0 means not measured.
	PrefillRate float64
	LinkRate    float64
	// Version is the weight version with which the upstream serves new requests.
	// Loaded lists all loaded versions. If Version is empty, the upstream is assumed
	// to serve the version of its UpstreamConfig.
	Version core.WeightVersion
	Loaded  []core.WeightVersion
	// StoredKeys lists the first 8 bytes, big-endian, of recently stored block
	// keys.
	StoredKeys []uint64
}

// Request is a prompt that needs an upstream.
type Request struct {
	Scope core.CacheScope
	Class core.Class
	// Blocks are the keys of the prompt's full blocks, computed with the scope's
	// salt.
	Blocks      []core.BlockKey
	PromptBytes int
	// TriedUpstreams are the upstreams of earlier attempts. They are excluded.
	TriedUpstreams []core.UpstreamID
	// Allow, if set, excludes the upstreams for which it returns false.
	Allow func(core.UpstreamID) bool
}

// Source identifies how the chosen upstream became a candidate.
type Source uint8

// Sources of candidates.
const (
	// SourceHashRing means that the upstream is a hash ring neighbour.
	SourceHashRing Source = iota
	// SourceHints means that the upstream is a holder.
	SourceHints
	// SourceAvailable means that the upstream was chosen among all upstreams with
	// credits: at random, or by LeastLoaded. Its name in metrics is "random".
	SourceAvailable
)

// String returns the name of the source as used in metrics.
func (s Source) String() string { return [...]string{"ring", "hints", "random"}[s] }

// Choice is the chosen upstream. Choose has spent one of its credits.
type Choice struct {
	Upstream    core.UpstreamID
	Incarnation core.Incarnation
	Source      Source
	// HintedBlocks is the number of leading blocks that the upstream holds
	// according to the hint directory or to the keys that it stored recently.
	// HintAge is the time since the upstream was recorded as a holder of them.
	HintedBlocks int
	HintAge      time.Duration
	// KeptBlocks is the number of leading blocks that the kept-cache store holds
	// according to the hint directory. ImportKeptCache is set if importing them is
	// expected to be faster than recomputing them.
	KeptBlocks      int
	ImportKeptCache bool
	// ExpectedWait and ExpectedFirstToken are the expected times to admission
	// and to the first token.
	ExpectedWait       time.Duration
	ExpectedFirstToken time.Duration
}

// Refusal is the reason why no upstream was chosen.
type Refusal uint8

// Refusals.
const (
	// RefusalNone means that an upstream was chosen.
	RefusalNone Refusal = iota
	// RefusalNoUpstream means that no upstream serves the requested version of the
	// model.
	RefusalNoUpstream
	// RefusalNoCredit means that no upstream that may receive the call has an
	// unexpired credit for the class.
	RefusalNoCredit
)

// String returns the name of the refusal as used in metrics and logs.
func (r Refusal) String() string { return [...]string{"chosen", "no_member", "no_credit"}[r] }

// RunResult describes the state of an upstream's cache after a finished run.
type RunResult struct {
	Upstream    core.UpstreamID
	Incarnation core.Incarnation
	// Blocks are the keys of the prompt. HeldBlocks is the number of leading
	// blocks that the upstream holds after the run.
	Blocks     []core.BlockKey
	HeldBlocks int
	// HintedBlocks and HintAge are copied from the choice. ReusedBlocks is the
	// number of leading blocks that the upstream did not recompute.
	HintedBlocks int
	HintAge      time.Duration
	ReusedBlocks int
}
