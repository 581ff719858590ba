// Package placement decides which upstream serves a call, which kept parts it
// fetches and which it saves. It keeps what one process knows of each
// upstream's load, health and caches. It performs no I/O and reads no clock.
package placement

import (
	"strconv"
	"time"

	"waxwingtide.example/waxwingtide/canary"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
)

// Options set the model of an upstream's speed and the shares of this process
// in limits that hold for all processes together.
type Options struct {
	Node core.NodeID
	// Domain is the failure domain of this process.
	Domain core.FailureDomain
	// PrefillTokensPerMs is the rate at which an engine reads a prompt.
	PrefillTokensPerMs float64
	// ColdOver and ColdSlack extend what a cold upstream bears in a second:
	// its rate times ColdOver, plus ColdSlack calls.
	ColdFactor float64
	ColdSlack  float64
	// WeightChangeTimeout is the time after the naming of new weights from which no
	// call begins on older ones.
	WeightChangeTimeout time.Duration
	// RetryShare and RetrySlack bound the repeated sends to a service in
	// RetryWindow: the share of its calls plus the slack.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// Need describes a call that is to be placed.
type Request struct {
	Service    core.ServiceID
	Prompt     core.Prompt
	Workspace  *catalog.Workspace
	Repeatable bool
	// Bytes is the size of the call and of its expected answer.
	Bytes int
	// Tried are the upstreams that were tried before, in order.
	TriedUpstreams []core.UpstreamID
	// Repeat is set when the call was sent before.
	Retry bool
	// Limit says which upstreams a rollout allows.
	RolloutLimit canary.Filter
}

// AttemptID names one attempt.
type AttemptID uint64

// Choice is where a call goes and how.
type Choice struct {
	AttemptID AttemptID
	Upstream  catalog.ListedUpstream
	Weights   catalog.WeightNumber
	Salt      string
	// Fetch and Save hold a store's address or nothing for each part.
	FetchFrom []string
	SaveTo    []string
	// Expected is the time to the first byte that was estimated.
	ExpectedFirstByte time.Duration
	// Fetched and Read are the numbers of tokens behind the estimate.
	FetchedTokens int
	ReadTokens    int
}

// Refusal says why a call cannot be placed now.
type Refusal uint8

// Refusals.
const (
	// Placed means that there was no refusal.
	Placed Refusal = iota
	// NoUpstream means that no upstream of the service may be used.
	NoUpstream
	// Limited means that all upstreams are at their limits.
	Limited
	// NoRetryBudget means that the budget for repeated sends is used up.
	NoRetryBudget
)

// String returns the name of the refusal as used in metrics and logs.
func (r Refusal) String() string {
	return [...]string{"placed", "no_upstream", "limited", "retry_budget"}[r]
}

// Result is how an attempt ended.
type Result uint8

// Results of attempts.
const (
	// Completed means that the whole answer came.
	Completed Result = iota
	// Failed means that the upstream answered with a failure of its own.
	Failed
	// Rejected means that the upstream proved not to have run the call.
	Rejected
	// Misdirected means that another upstream answers at the address, or that it
	// has other weights.
	Misdirected
	// Unreachable means that no connection was made.
	Unreachable
	// Broken means that the answer did not come, or not whole.
	Broken
	// Abandoned means that the caller left or its time was over.
	Abandoned
)

// String returns the name of the result as used in metrics and logs.
func (r Result) String() string {
	return [...]string{"completed", "failed", "rejected", "misdirected", "unreachable", "broken", "abandoned"}[r]
}

// Report is what an attempt has shown.
type Report struct {
	AttemptID AttemptID
	Upstream  core.UpstreamID
	// Ended is set with the last report of an attempt, Result then too.
	Final  bool
	Result Result
	// Load is the number of calls at the upstream when HasLoad is set.
	Load    int
	HasLoad bool
	// Route is the name of the call's route, First the time to the first byte; 0
	// when none came.
	Route     string
	FirstByte time.Duration
	Model     core.ModelID
	Weights   catalog.WeightNumber
	// Cold is how long the upstream stays cold; 0 when it did not say.
	ColdRemaining time.Duration
}

// Salt returns the cache salt of a model's prompts under a weight version. Only
// calls under equal salts share cached parts.
func Salt(model core.ModelID, version catalog.WeightNumber, workspace *catalog.Workspace) string {
	wall := "*"
	if workspace != nil && workspace.Isolated {
		wall = "=" + string(workspace.ID)
	}
	return strconv.FormatUint(uint64(version), 10) + "/" + string(model) + "/" + wall
}

// ParseSalt returns the weight version and the model of a salt, or false for
// a text that Salt did not make.
func ParseSalt(salt string) (core.ModelID, catalog.WeightNumber, bool) {
	first, last := -1, -1
	for i := range len(salt) {
		if salt[i] == '/' {
			if first < 0 {
				first = i
			}
			last = i
		}
	}
	if first < 0 || first == last {
		return "", 0, false
	}
	version, err := strconv.ParseUint(salt[:first], 10, 64)
	if err != nil {
		return "", 0, false
	}
	return core.ModelID(salt[first+1 : last]), catalog.WeightNumber(version), true
}
