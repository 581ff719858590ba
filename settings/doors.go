package settings

// DefaultDaemonMemoryMB is the memory of an entry or an agent if it is not set. It is what
// a node may spend for control.
const DefaultDaemonMemoryMB = 128

// DaemonDoors bounds what clients make an entry or an agent hold.
type DaemonDoors struct {
	// MaxFDs is the number of descriptors that the VM grants the process; 0 selects its
	// limit at the start.
	MaxFDs int `yaml:"max_fds,omitempty" validate:"omitempty,min=64"`
	// MemoryMB is the memory of the process; 0 selects DefaultDaemonMemoryMB.
	MemoryMB float64 `yaml:"memory_mb,omitempty" validate:"omitempty,min=64"`
}

// Doors bounds what clients make the process hold, whatever they send. 0 selects a
// default that follows from the machine (docs/settings.md).
type Doors struct {
	// MaxFDs is the number of descriptors that the VM grants the process.
	MaxFDs int `yaml:"max_fds,omitempty" validate:"omitempty,min=64"`
	// Connections is the maximum number of open connections of callers.
	Connections int `yaml:"connections,omitempty" validate:"min=0"`
	// ControlConnections is the maximum number of open connections at each of the
	// readiness and metrics listeners, InnerConnections that of the inner protocol.
	ControlConnections int `yaml:"control_connections,omitempty" validate:"min=0"`
	InnerConnections   int `yaml:"inner_connections,omitempty" validate:"min=0"`
}
