package gate

import (
	"strconv"
	"strings"
	"time"
)

// ticketSeparator separates the unique part of a claim id from its ticket.
const ticketSeparator = "@"

// ClaimID returns a claim id made of a unique text and the ticket that the
// holder of the claim had obtained beforehand. Such an id binds the claim to its
// ticket, so that the agent can tell even much later whether a claim that it does
// not remember has certainly never started. For an id of another form it can tell
// only until it evicts a started claim for the first time.
func ClaimID(unique string, ticketNs int64) string {
	return unique + ticketSeparator + strconv.FormatInt(ticketNs, 36)
}

// ticketInID returns the ticket that a claim id contains, if it contains one.
func ticketInID(id string) (time.Duration, bool) {
	_, text, found := strings.Cut(id, ticketSeparator)
	if !found {
		return 0, false
	}
	ns, err := strconv.ParseInt(text, 36, 64)
	return time.Duration(ns), err == nil
}
