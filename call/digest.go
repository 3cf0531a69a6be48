package call

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/lilackeel/lilackeel/fault"
)

// Digest identifies the request that an idempotency key stands for: SHA-256 over method,
// path with query, and body, each preceded by its length.
func Digest(method, path string, body []byte) []byte {
	return digest([]byte(method), []byte(path), body)
}

// digest returns the SHA-256 of parts, each preceded by its length.
func digest(parts ...[]byte) []byte {
	hash := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return hash.Sum(nil)
}

// MaxKeyLength bounds the length of an idempotency key, in bytes.
const MaxKeyLength = 255

// CheckKey returns a fault unless key is a valid idempotency key.
func CheckKey(key string) *fault.Error {
	remedy := fmt.Sprintf("send a key of 1 to %d printable ASCII characters, such as a UUID", MaxKeyLength)
	if key == "" {
		return fault.New(fault.Invalid, "the idempotency key is empty", remedy)
	}
	if len(key) > MaxKeyLength {
		return fault.Newf(fault.Invalid, remedy, "the idempotency key has %d characters", len(key))
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return fault.New(fault.Invalid, "the idempotency key contains a character that is not printable ASCII", remedy)
		}
	}
	return nil
}
