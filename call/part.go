package call

// partMarker begins the fingerprint of every part of a prompt. Parts share the namespace of request
// fingerprints, so that hosts that do not know of parts forward what is reported of them.
const partMarker = "part"

// PartFingerprint returns the fingerprint of one part of a prompt, given by its id, at the endpoints
// of a pool: what crashes one pool may be harmless to another.
func PartFingerprint(pool, id string) Fingerprint {
	f := Fingerprint(digest([]byte(partMarker), []byte(pool), []byte(id))[:len(Fingerprint{})])
	copy(f[:], partMarker)
	return f
}

// IsPart reports whether f is the fingerprint of a part of a prompt.
func (f Fingerprint) IsPart() bool { return string(f[:len(partMarker)]) == partMarker }
