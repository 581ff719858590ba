// Package dev runs the whole system with small stand-ins in one process, sends
// it a seeded workload and sums up what was seen. The invariant counters come
// from the stand-ins' own ledgers.
package dev

import (
	"time"

	"github.com/goccy/go-yaml"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/examples"
)

// Deployment describes one deployment and its workload.
type Deployment struct {
	Name           string               `yaml:"name"`
	FailureDomains []core.FailureDomain `yaml:"failure_domains"`
	Model          core.ModelID         `yaml:"model"`
	Engines        int                  `yaml:"engines"`
	Entries        int                  `yaml:"entries"`
	Stores         int                  `yaml:"stores"`
	Service        core.ServiceID       `yaml:"service"`
	RecordServers  int                  `yaml:"record_servers"`
	RecordPath     string               `yaml:"record_path"`
	LookupPath     string               `yaml:"lookup_path"`
	Engine         EngineModel          `yaml:"engine"`
	Latency        Latency              `yaml:"latency"`
	Workspaces     []WorkspaceShare     `yaml:"workspaces"`
	// ContextsPerWorkspace is the number of texts that prompts return to.
	ContextsPerWorkspace int         `yaml:"contexts_per_workspace"`
	SharedBytes          int         `yaml:"shared_bytes"`
	HistoryBytes         int         `yaml:"history_bytes"`
	Urgent               PromptClass `yaml:"urgent"`
	Deferrable           PromptClass `yaml:"deferrable"`
	Prompts              LoadRates   `yaml:"prompts_per_second"`
	Records              LoadRates   `yaml:"records_per_second"`
	// LookupShare is the part of service calls that only read.
	LookupShare float64 `yaml:"lookup_share"`
}

// EngineModel is what the engine stand-ins model.
type EngineModel struct {
	PrefillBytesPerSecond float64       `yaml:"prefill_bytes_per_second"`
	TokenTime             time.Duration `yaml:"token_time"`
	TokenTimePerRun       time.Duration `yaml:"token_time_per_run"`
	MaxBatch              int           `yaml:"max_batch"`
	CacheBlocks           int           `yaml:"cache_blocks"`
	KVBytesPerBlock       int           `yaml:"kv_bytes_per_block"`
	LinkBytesPerSecond    int           `yaml:"link_bytes_per_second"`
	EventDelay            time.Duration `yaml:"event_delay"`
	EventGap              uint64        `yaml:"event_gap"`
	MetricsLag            time.Duration `yaml:"metrics_lag"`
}

// Latency is the one-way delay of a message.
type Latency struct {
	BetweenDomains time.Duration `yaml:"between_domains"`
	ToClients      time.Duration `yaml:"to_clients"`
}

// WorkspaceShare is a workspace's share of the traffic.
type WorkspaceShare struct {
	ID    core.WorkspaceID `yaml:"id"`
	Share int              `yaml:"share"`
}

// PromptClass describes the prompts of one class.
type PromptClass struct {
	Share float64 `yaml:"share"`
	// PromptBytes is the length of a prompt without context; 0 means that the
	// prompt is a context with a note at its end.
	PromptBytes int `yaml:"prompt_bytes"`
	NoteBytes   int `yaml:"note_bytes"`
	MaxTokens   int `yaml:"max_tokens"`
	// KeepsNote adds the note to the context for later prompts.
	KeepsNote bool `yaml:"keeps_note"`
}

// LoadRates are calls a second at the two loads.
type LoadRates struct {
	Light float64 `yaml:"light"`
	Heavy float64 `yaml:"heavy"`
}

// at returns the rate at a load.
func (r LoadRates) at(heavy bool) float64 {
	if heavy {
		return r.Heavy
	}
	return r.Light
}

// loadDeployment reads an embedded deployment by name.
func loadDeployment(name string) (*Deployment, error) {
	body, err := examples.Deployments.ReadFile("deployment-" + name + ".yaml")
	if err != nil {
		return nil, errs.New(errs.Invalid, "use --deployment a or b", "deployment %q is not known", name)
	}
	var d Deployment
	if err := yaml.UnmarshalWithOptions(body, &d, yaml.Strict()); err != nil {
		return nil, errs.Wrap(err, errs.Internal, "report this as a defect", "deployment %s is not readable", name)
	}
	return &d, nil
}
