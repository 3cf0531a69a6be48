package fault

import (
	"strconv"
	"strings"
)

// sendTo begins the remedy that names who leads.
const sendTo = "send it to "

// LedBy returns the fault of a replica that does not lead, which names the one that does
// by its number and its address, host:port.
func NewNotLeader(id uint64, addr string) *Error {
	return New(NotLeader, "replica "+strconv.FormatUint(id, 10)+" at "+addr+" leads", sendTo+addr)
}

// Leader returns the address that a fault of LedBy names; ok is false for other errors.
func LeaderAddr(err error) (addr string, ok bool) {
	typed := As(err)
	if typed == nil || typed.Kind != NotLeader {
		return "", false
	}
	return strings.CutPrefix(typed.Remedy, sendTo)
}
