package memory

import "syscall"

// hostDivisor is the part of the host's memory that a budget may have, as a divisor. The rest is for the garbage
// that is not collected yet, and for all else.
const hostDivisor = 2

// WithinHost returns the limit of a budget in bytes, or what the host's memory allows if that is less. A limit of
// zero, which is none, is kept.
func WithinHost(limit int64) int64 { return within(limit, hostMemory()) }

func within(limit, host int64) int64 {
	if host <= 0 {
		return limit
	}
	return min(limit, host/hostDivisor)
}

// hostMemory returns the memory of the host in bytes, or zero if it is not known.
func hostMemory() int64 {
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) != nil {
		return 0
	}
	return int64(uint64(info.Totalram) * uint64(info.Unit))
}
