package frontend

import (
	"syscall"
	"time"

	"waxwingtide.example/waxwingtide/callerhttp"
	"waxwingtide.example/waxwingtide/settings"
	"waxwingtide.example/waxwingtide/transport"
)

const (
	// callerFDShare, innerFDShare and controlFDShare are the shares of the descriptors for
	// connections of callers, of the inner protocol, and of each of the readiness and
	// metrics listeners. The rest is for the connections that the front opens.
	callerFDShare  = 0.5
	innerFDShare   = 0.125
	controlFDShare = 0.0625
	// maxControlConns limits the default of the readiness and metrics listeners.
	maxControlConns = 64
	// connMemoryShare is the share of the memory for connections of callers, connBytes the
	// memory of one: two goroutines and the buffers of http.Server.
	connMemoryShare = 0.1
	connBytes       = 20 << 10
	// controlBodyTime is the time for a body at the readiness and metrics listeners, which
	// expect none.
	controlBodyTime = 5 * time.Second
	// innerMessageBytes is the maximum size of a request of another front.
	innerMessageBytes = 1 << 20
	// innerIdleTimeout is longer than the time for which other fronts keep idle connections.
	innerIdleTimeout = 45 * time.Second
)

// doorLimits are the limits of the listeners.
type doorLimits struct {
	callers, control callerhttp.Limits
	inner            transport.Limits
}

// newDoorLimits returns the limits of a machine.
func newDoorLimits(s settings.Doors, limitMB float64, memory memoryBudgets) doorLimits {
	fds := float64(s.MaxFDs)
	if fds == 0 {
		fds = float64(descriptorLimit())
	}
	if limitMB <= 0 {
		limitMB = defaultMemoryMB
	}
	orDefault := func(setting int, value float64) int {
		if setting > 0 {
			return setting
		}
		return int(value)
	}
	return doorLimits{
		callers: callerhttp.Limits{
			Connections: orDefault(s.Connections, min(callerFDShare*fds, connMemoryShare*limitMB*(1<<20)/connBytes)), Memory: memory.requests,
		},
		control: callerhttp.Limits{
			Connections: orDefault(s.ControlConnections, min(controlFDShare*fds, maxControlConns)), Memory: memory.controlRequests, BodyTime: controlBodyTime,
		},
		inner: transport.Limits{
			Connections: orDefault(s.InnerConnections, innerFDShare*fds), Memory: memory.controlRequests,
			MessageBytes: innerMessageBytes, IdleTimeout: innerIdleTimeout,
		},
	}
}

// descriptorLimit returns the number of descriptors that the process may open.
func descriptorLimit() uint64 {
	const unknown = 1024
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return unknown
	}
	return limit.Cur
}
