package call

import "encoding/hex"

// Fingerprint tells whether two requests are the same but for their ids: its caller, its
// method, its path with query, and its body.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. The caller is its workspace: keys
// change, and what one workspace sends never counts against another.
func FingerprintOf(caller, method, target string, body []byte) Fingerprint {
	return Fingerprint(digest([]byte(caller), []byte(method), []byte(target), body)[:len(Fingerprint{})])
}

// String returns the fingerprint in lower-case hex.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler, for logs.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }
