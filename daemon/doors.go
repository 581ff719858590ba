package daemon

import (
	"runtime/debug"
	"syscall"

	"waxwingtide.example/waxwingtide/callerhttp"
	"waxwingtide.example/waxwingtide/membudget"
	"waxwingtide.example/waxwingtide/settings"
	"waxwingtide.example/waxwingtide/transport"
)

const (
	// callerShare, innerShare and adminShare are the shares of the memory for the requests of
	// callers with their bodies, for messages of the inner protocol, and for the heads of
	// requests to the administration API. The largest prompt fits in the first two.
	callerShare = 0.2
	innerShare  = 0.3
	adminShare  = 0.05
	// callerFDShare, innerFDShare and adminFDShare are the shares of the descriptors for
	// connections. An agent, which has no callers, has both shares for the inner protocol.
	callerFDShare = 0.375
	innerFDShare  = 0.25
	adminFDShare  = 0.0625
)

// doorLimits are the limits of the listeners.
type doorLimits struct {
	callers, admin callerhttp.Limits
	inner          transport.Limits
}

// newDoorLimits returns the limits of a daemon.
func newDoorLimits(hasCallers bool, s settings.DaemonDoors) doorLimits {
	fds := float64(s.MaxFDs)
	if fds == 0 {
		fds = float64(descriptorLimit())
	}
	budget := func(name string, share float64) *membudget.Budget {
		return membudget.New(name, int64(share*memoryMB(s)*(1<<20)))
	}
	inner := innerFDShare
	if !hasCallers {
		inner += callerFDShare
	}
	return doorLimits{
		callers: callerhttp.Limits{Connections: int(callerFDShare * fds), Memory: budget("requests", callerShare), ChargeBodies: true},
		admin:   callerhttp.Limits{Connections: int(adminFDShare * fds), Memory: budget("administration", adminShare)},
		inner:   transport.Limits{Connections: int(inner * fds), Memory: budget("inner", innerShare)},
	}
}

// LimitMemory sets the Go memory limit of a process that runs one daemon.
func LimitMemory(s settings.DaemonDoors) {
	debug.SetMemoryLimit(membudget.GoLimit(memoryMB(s)))
}

// memoryMB returns the memory of a daemon.
func memoryMB(s settings.DaemonDoors) float64 {
	if s.MemoryMB == 0 {
		return settings.DefaultDaemonMemoryMB
	}
	return s.MemoryMB
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
