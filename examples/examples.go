// Package examples embeds the example deployments that the dev command runs.
package examples

import "embed"

// Deployments holds deployment-a.yaml and deployment-b.yaml.
//
//go:embed deployment-a.yaml deployment-b.yaml
var Deployments embed.FS
