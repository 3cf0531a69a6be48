package quarantine

import "github.com/lilackeel/lilackeel/call"

// maxPartsPerRequest bounds the parts of one request that are tracked, since callers may list
// thousands.
const maxPartsPerRequest = 32

// Part is a part of a request's prompt at the endpoints of a pool.
type Part struct {
	Fingerprint call.Fingerprint
	// ID is the caller's name of the part, for logs.
	ID string
}

// Parts are the parts of one request, without repetitions.
type Parts []Part

// oversizedID names the part that stands for the rest of a list that exceeds maxPartsPerRequest. All
// such lists of a workspace share it, so that a part cannot evade the quarantine in a long list.
const oversizedID = "more than 32 parts"

// NewParts returns the parts with the given ids of a request of a workspace to a pool.
func NewParts(pool, workspace string, ids []string) Parts {
	if len(ids) == 0 {
		return nil
	}
	parts := make(Parts, 0, min(len(ids), maxPartsPerRequest))
	for _, id := range ids {
		if parts.hasID(id) {
			continue
		}
		if len(parts) == maxPartsPerRequest-1 {
			return append(parts, Part{call.PartFingerprint(pool, oversizedID+"\x00"+workspace), oversizedID})
		}
		parts = append(parts, Part{call.PartFingerprint(pool, id), id})
	}
	return parts
}

func (p Parts) hasID(id string) bool {
	for i := range p {
		if p[i].ID == id {
			return true
		}
	}
	return false
}

// has reports whether the part with a fingerprint is one of p.
func (p Parts) has(f call.Fingerprint) bool {
	for i := range p {
		if p[i].Fingerprint == f {
			return true
		}
	}
	return false
}

// maxLoggedParts bounds the parts in a log line.
const maxLoggedParts = 16

// LoggedIDs returns the ids of the first parts, for logs.
func (p Parts) LoggedIDs() []string {
	ids := make([]string, 0, min(len(p), maxLoggedParts))
	for _, part := range p[:min(len(p), maxLoggedParts)] {
		ids = append(ids, part.ID)
	}
	return ids
}
