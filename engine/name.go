package engine

import "waxwingtide.example/waxwingtide/core"

// ModelName returns the name under which an engine serves a weight version and
// an adapter.
func ModelName(model core.ModelID, version core.WeightVersion, adapter core.AdapterID) string {
	name := string(model) + "@" + string(version)
	if adapter != "" {
		name += "+" + string(adapter)
	}
	return name
}
