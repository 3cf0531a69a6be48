package fault

import (
	"strconv"
	"strings"
)

// leaderRemedyPrefix precedes the leader's address in the remedy. LeaderAddr parses it, also
// on faults received from other replicas.
const leaderRemedyPrefix = "send it to "

// NewNotLeader returns the fault of a replica that is not the leader. It states the id of the
// leader and its address, host:port.
func NewNotLeader(id uint64, addr string) *Error {
	return New(NotLeader, "replica "+strconv.FormatUint(id, 10)+" at "+addr+" leads", leaderRemedyPrefix+addr)
}

// LeaderAddr returns the address stated by a fault from NewNotLeader; ok is false for other
// errors, and for a replica that knows the leader but not its address.
func LeaderAddr(err error) (addr string, ok bool) {
	typed := As(err)
	if typed == nil || typed.Kind != NotLeader {
		return "", false
	}
	addr, ok = strings.CutPrefix(typed.Remedy, leaderRemedyPrefix)
	return addr, ok && addr != ""
}
