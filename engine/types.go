// Package engine is the client for model engines. The types in this file are
// the bodies of the engine's HTTP interface.
package engine

// Paths and headers of the engine's HTTP interface.
const (
	PathCompletions = "/v1/completions"
	PathMetrics     = "/metrics"
	PathEvents      = "/v1/cache/events"
	PathExport      = "/v1/cache/export"
	PathImport      = "/v1/cache/import"
	PathLoad        = "/v1/admin/load"
	PathRole        = "/v1/admin/role"
	PathInfo        = "/v1/info"
	HeaderFence     = "Fencing-Token"
)

// Names of the load metrics that an engine exposes at PathMetrics.
const (
	MetricRunning = "engine_requests_running"
	MetricWaiting = "engine_requests_waiting"
	MetricCache   = "engine_cache_usage_ratio"
)

// CompletionRequest is the body of a completion.
type CompletionRequest struct {
	// Model is model and weight version joined by "@", and the adapter after
	// "+" where there is one.
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	// Priority 0 runs before priority 1.
	Priority int `json:"priority"`
	// CacheSalt scopes the prefix cache; see core.CacheScope.
	CacheSalt string `json:"cache_salt"`
	RequestID string `json:"request_id"`
	// ResumeFrom is the number of output tokens that the caller already has.
	ResumeFrom int `json:"resume_from,omitempty"`
}

// CompletionChunk is one server-sent event of a streamed completion. The
// stream ends with the event "[DONE]".
type CompletionChunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is a piece of output text.
type Choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens int `json:"prompt_tokens"`
	// CompletionTokens is the number of tokens sent in this stream; those
	// before ResumeFrom are not counted.
	CompletionTokens int `json:"completion_tokens"`
	// CachedTokens is the number of prompt tokens that were not recomputed.
	CachedTokens int `json:"cached_tokens"`
}

// Event is one cache event; events are published late and with gaps in Seq.
type Event struct {
	Seq uint64 `json:"seq"`
	// Kind is "stored", "removed" or "cleared".
	Kind string   `json:"kind"`
	Salt string   `json:"salt"`
	Keys []string `json:"keys"`
}

// EventPage answers GET PathEvents?after=N.
type EventPage struct {
	// CacheEpoch changes when the engine has lost its whole cache.
	CacheEpoch uint64  `json:"cache_epoch"`
	Events     []Event `json:"events"`
}

// Info answers GET PathInfo.
type Info struct {
	// Incarnation changes when the engine process restarts.
	Incarnation uint64   `json:"incarnation"`
	CacheEpoch  uint64   `json:"cache_epoch"`
	Loaded      []string `json:"loaded"`
	Role        string   `json:"role"`
}

// ExportRequest asks for the content of blocks. The answer is an
// ExportResponse; blocks that the engine no longer holds are left out.
type ExportRequest struct {
	Salt string   `json:"salt"`
	Keys []string `json:"keys"`
}

// Block is the content of one cache block.
type Block struct {
	Key  string `json:"key"`
	Data []byte `json:"data"`
}

// ExportResponse carries exported blocks.
type ExportResponse struct {
	Blocks []Block `json:"blocks"`
}

// ImportRequest commits blocks to the engine's cache, all or none. The keys
// form one prefix in prompt order.
type ImportRequest struct {
	Salt   string  `json:"salt"`
	Blocks []Block `json:"blocks"`
}

// LoadRequest orders the engine to load a weight version. The answer comes
// when the version is loaded.
type LoadRequest struct {
	Model string `json:"model"`
}

// RoleRequest orders the engine to change its role.
type RoleRequest struct {
	Role string `json:"role"`
}
