// Package settings reads the YAML settings of each program. Decoding is
// strict: an unknown key is an error. Every error names the file, the key and
// the remedy.
package settings

import (
	"time"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
)

// Entry is the settings of the entry daemon.
type Entry struct {
	Common  `yaml:",inline"`
	Callers Listener `yaml:"callers" validate:"required"`
	// Routing chooses the policy for prompts.
	Routing Routing `yaml:"routing,omitempty"`
	// Limits bounds what one entry accepts.
	Limits Limits `yaml:"limits,omitempty"`
	// Administration lists who may use the administration API.
	Administration Administration `yaml:"administration,omitempty"`
}

// Agent is the settings of the agent daemon.
type Agent struct {
	Common   `yaml:",inline"`
	Upstream Upstream `yaml:"upstream" validate:"required"`
	// KeptCache bounds what the agent moves to and from kept-cache stores.
	KeptCache KeptCache `yaml:"kept_cache,omitempty"`
}

// Common is what both daemons need.
type Common struct {
	Node          core.NodeID        `yaml:"node" validate:"required,max=64"`
	FailureDomain core.FailureDomain `yaml:"failure_domain" validate:"required,max=64"`
	// FailureDomains lists all failure domains of the deployment.
	FailureDomains []core.FailureDomain `yaml:"failure_domains" validate:"required,min=1,unique,dive,required"`
	// Inner is where the inner protocol is served.
	Inner Listener `yaml:"inner" validate:"required"`
	// Admin is where health, metrics and the administration API are served.
	Admin    Listener `yaml:"admin" validate:"required"`
	Platform Platform `yaml:"platform" validate:"required"`
	Log      Log      `yaml:"log,omitempty"`
	// StopTimeout bounds how long a planned stop waits for runs under way; the
	// default is 5m.
	StopTimeout time.Duration `yaml:"stop_timeout,omitempty" validate:"min=0"`
	Doors       DaemonDoors   `yaml:"doors,omitempty"`
}

// Listener is an address with optional TLS.
type Listener struct {
	// Address is the IP:port to listen on.
	Address string `yaml:"address" validate:"required,ip_port"`
	TLS     *TLS   `yaml:"tls,omitempty"`
}

// TLS names PEM files. They are read again when they change.
type TLS struct {
	Certificate string `yaml:"certificate" validate:"required"`
	Key         string `yaml:"key" validate:"required"`
	// PeerCA is set for mutual TLS: the other side must show a certificate that
	// this authority signed.
	PeerCA string `yaml:"peer_ca,omitempty"`
}

// Platform names the platform's services.
type Platform struct {
	// TableURL is the endpoint of the table service (DynamoDB JSON protocol).
	TableURL  string `yaml:"table_url" validate:"required,http_url"`
	TableName string `yaml:"table_name" validate:"required"`
	// ObjectsURL is the endpoint of the object store (S3 protocol).
	ObjectsURL string `yaml:"objects_url" validate:"required,http_url"`
	Bucket     string `yaml:"bucket" validate:"required"`
	// MembersURL lists the VMs (Prometheus HTTP service discovery format).
	MembersURL string `yaml:"members_url" validate:"required,http_url"`
	// AccessKey and SecretKeyFile are the credentials for both stores.
	AccessKey     string `yaml:"access_key" validate:"required"`
	SecretKeyFile string `yaml:"secret_key_file" validate:"required"`
}

// Log sets the verbosity of the log.
type Log struct {
	// Level is debug, info, warning or error; the default is info.
	Level string `yaml:"level,omitempty" validate:"omitempty,oneof=debug info warning error"`
}

// Policies of routing.
const (
	PolicyCost        = "cost"
	PolicyLeastLoaded = "least_loaded"
)

// Routing chooses how prompts are placed.
type Routing struct {
	// Policy is cost (the default) or least_loaded.
	Policy string `yaml:"policy,omitempty" validate:"omitempty,oneof=cost least_loaded"`
	// MaxWatched bounds how many upstreams of a model the entry keeps in touch
	// with; the default is 64.
	MaxWatched int `yaml:"max_watched,omitempty" validate:"min=0,max=4096"`
}

// Limits bounds what one entry accepts.
type Limits struct {
	// BodyBytes is the largest body of a caller's request; the default is 4 MiB.
	BodyBytes int64 `yaml:"body_bytes,omitempty" validate:"min=0"`
	// Waiting is how many prompts may wait for an upstream; the default is 1024.
	Waiting int `yaml:"waiting,omitempty" validate:"min=0"`
	// Timeout is the deadline of a call that states none; the default is 30s.
	Timeout time.Duration `yaml:"timeout,omitempty" validate:"min=0"`
}

// Administration lists the users of the administration API.
type Administration struct {
	Users []User `yaml:"users,omitempty" validate:"dive"`
	// Webhook is a URL that is told when a rollout is done or taken back.
	Webhook string `yaml:"webhook,omitempty" validate:"omitempty,http_url"`
}

// User is one user of the administration API.
type User struct {
	Name string `yaml:"name" validate:"required"`
	Role string `yaml:"role" validate:"oneof=viewer operator signer"`
	// TokenSHA256 is the SHA-256 of the bearer token in hexadecimal.
	TokenSHA256 string `yaml:"token_sha256" validate:"required,len=64,hexadecimal"`
}

// Upstream is the upstream beside an agent.
type Upstream struct {
	ID core.UpstreamID `yaml:"id" validate:"required,max=64"`
	// Kind is engine or service.
	Kind bundle.UpstreamKind `yaml:"kind" validate:"oneof=engine service"`
	URL  string              `yaml:"url" validate:"required,http_url"`
}

// KeptCache bounds the agent's transfers.
type KeptCache struct {
	Disabled bool `yaml:"disabled,omitempty"`
	// LinkBytesPerSecond is the rate that the kept-cache link is known to
	// carry, until it is measured; the default is 8 MiB.
	LinkBytesPerSecond int `yaml:"link_bytes_per_second,omitempty" validate:"min=0"`
}
