package membudget

const (
	// goLimitShare is the Go memory limit as a share of the memory that the VM grants the
	// process, less the memory of the program, which the limit does not cover.
	goLimitShare = 0.8
	// programMB is the memory of the loaded program. minGoLimitShare is the Go memory limit
	// of a process that is granted little more than that.
	programMB       = 10
	minGoLimitShare = 0.5
)

// GoLimit returns the Go memory limit in bytes of a process that is granted a memory.
func GoLimit(grantedMB float64) int64 {
	return int64(max(goLimitShare*(grantedMB-programMB), minGoLimitShare*grantedMB) * (1 << 20))
}
