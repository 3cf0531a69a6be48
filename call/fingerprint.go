package call

import "encoding/hex"

// Fingerprint identifies equal requests, regardless of their request ids: it covers the
// caller, the method, the path with query, and the body.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. The caller is the workspace and not
// the API key: keys are rotated, and requests of one workspace must never count against
// another.
func FingerprintOf(caller, method, target string, body []byte) Fingerprint {
	return Fingerprint(digest([]byte(caller), []byte(method), []byte(target), body)[:len(Fingerprint{})])
}

// String returns the fingerprint in lower-case hex.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler, for logs.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }
