package placement

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
)

const (
	// commonScope is the scope of all workspaces while none is isolated, and the prefix of
	// the common scopes while some are. isolatedScopePrefix is that of the scopes of isolated
	// workspaces.
	commonScope         = "*"
	isolatedScopePrefix = "="
	// formerScopeDelay is the time for which the parts of a scope that is not in use here
	// are not freed. It is longer than a process may run with an older configuration.
	formerScopeDelay = 30 * time.Second
	// maxFormerScopes bounds the recorded scopes. The parts of further ones are freed later.
	maxFormerScopes = 64
)

// newIsolation returns the isolation without a configuration.
func newIsolation() isolation { return isolation{common: commonScope} }

// isolation is the set of isolated workspaces of a configuration. It determines the scopes
// within which parts are used.
//
// Nobody records which workspace has made a part. Each set of isolated workspaces therefore
// has a common scope of its own: parts in it were made by workspaces outside of that set,
// and are used by them only while that set is in force. The scope is a function of the
// configuration, so that all processes agree on it, also those that have just started.
type isolation struct {
	config   *catalog.Config
	isolated map[core.WorkspaceID]bool
	common   string
	// former contains the scopes of parts that are not in use with this configuration, with
	// the time at which they were first seen.
	former map[string]time.Time
}

// set applies a configuration.
func (s *isolation) set(config *catalog.Config) {
	if config == s.config {
		return
	}
	var ids []string
	isolated := make(map[core.WorkspaceID]bool)
	for _, w := range config.Workspaces {
		if w.Isolated {
			isolated[w.ID] = true
			ids = append(ids, strconv.Quote(string(w.ID)))
		}
	}
	slices.Sort(ids)
	common := commonScope
	if len(ids) > 0 {
		common += strconv.FormatUint(xxhash.Sum64String(strings.Join(slices.Compact(ids), "")), 16)
	}
	if common != s.common {
		s.former = nil
	}
	s.config, s.isolated, s.common = config, isolated, common
}

// scope returns the scope of the calls of a workspace. workspace may be that of another
// configuration, as of a call that has waited.
func (s *isolation) scope(workspace *catalog.Workspace) string {
	if workspace != nil && (workspace.Isolated || s.isolated[workspace.ID]) {
		return isolatedScopePrefix + string(workspace.ID)
	}
	return s.common
}

// unused reports whether a scope has not been in use for formerScopeDelay, since it was
// first seen. A process with an older configuration does not know the present scope, so
// that the time is counted again after a suspension.
func (s *isolation) unused(now time.Time, scope string) bool {
	id, isIsolated := strings.CutPrefix(scope, isolatedScopePrefix)
	switch {
	case isIsolated && s.isolated[core.WorkspaceID(id)], scope == s.common, s.config == nil:
		return false
	case !isIsolated && !strings.HasPrefix(scope, commonScope):
		return false // of another writer
	}
	since, ok := s.former[scope]
	if !ok && len(s.former) < maxFormerScopes {
		if s.former == nil {
			s.former = make(map[string]time.Time)
		}
		s.former[scope] = now
	}
	return ok && now.Sub(since) >= formerScopeDelay
}

// Salt returns the cache salt of a model's prompts under a weight version within a scope.
// Only calls with equal salts use the same cached parts. Models, weight versions, isolated
// workspaces and sets of isolated workspaces have different salts.
func Salt(model core.ModelID, version catalog.WeightNumber, scope string) string {
	return strconv.FormatUint(uint64(version), 10) + "/" + string(model) + "/" + scope
}

// SaltFields are the fields of a salt.
type SaltFields struct {
	Model   core.ModelID
	Weights catalog.WeightNumber
	Scope   string
}

// ParseSalt returns the fields of a salt, or false for a string that does not have the
// format of Salt.
func ParseSalt(salt string) (SaltFields, bool) {
	first, last := strings.IndexByte(salt, '/'), strings.LastIndexByte(salt, '/')
	if first == last {
		return SaltFields{}, false
	}
	version, err := strconv.ParseUint(salt[:first], 10, 64)
	if err != nil {
		return SaltFields{}, false
	}
	return SaltFields{Model: core.ModelID(salt[first+1 : last]), Weights: catalog.WeightNumber(version), Scope: salt[last+1:]}, true
}
