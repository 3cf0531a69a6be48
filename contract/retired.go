package contract

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
)

const (
	// hashBytes is the length of the prefix of a key's SHA-256 that is kept.
	hashBytes = 16
	// retiredBytes is the size of a retired claim in a snapshot: key hash, digest, hash
	// of the claim id, expiry and status.
	retiredBytes = hashBytes + digestBytes + 8 + 8 + 4
	// retiredChunk is the number of retired claims in an allocated chunk.
	retiredChunk = 4096
)

// keyHash is a prefix of the SHA-256 of a claim's workspace and key.
type keyHash [hashBytes]byte

func hashKey(workspace, key string) keyHash {
	buffer := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(workspace)+len(key)), uint32(len(workspace)))
	buffer = append(append(buffer, workspace...), key...)
	sum := sha256.Sum256(buffer)
	return keyHash(sum[:hashBytes])
}

// retiredClaim is the compact record of an answered claim whose answer is no longer kept. It
// is immutable.
type retiredClaim struct {
	key     keyHash
	digest  [digestBytes]byte
	id      uint64 // hash of the claim id
	expires int64
	status  int32
}

func (e *claimEntry) toRetired() retiredClaim {
	return retiredClaim{
		key: hashKey(e.workspace, e.key), digest: e.digest,
		id: xxhash.Sum64String(e.id), expires: e.expires, status: e.answer.GetStatus(),
	}
}

// message returns the claim as a protobuf message, with the given key. The claim id is set
// only if id is the one that holds the key.
func (r *retiredClaim) message(workspace, key, id string) *controlv1.Claim {
	claim := &controlv1.Claim{
		Workspace: workspace, Key: key, Digest: r.digest[:], State: controlv1.ClaimState_CLAIM_STATE_ANSWERED,
		Answer: &controlv1.Answer{Status: r.status, Truncated: true}, ExpiresNs: r.expires,
	}
	if r.heldBy(id) {
		claim.ClaimId = id
	}
	return claim
}

func (r *retiredClaim) heldBy(id string) bool { return id != "" && r.id == xxhash.Sum64String(id) }

// retiredTable holds retired claims by key, oldest first. An expired record stays until all
// older ones have expired; a later record of the same key replaces it in the index.
type retiredTable struct {
	chunks [][]retiredClaim // all full except the last; append-only
	first  uint64           // sequence number of the first record in chunks
	head   uint64           // sequence number of the oldest kept record
	next   uint64           // sequence number of the next record
	index  map[keyHash]uint64
}

func newRetiredTable() retiredTable { return retiredTable{index: make(map[keyHash]uint64)} }

func (t *retiredTable) len() int { return int(t.next - t.head) }

func (t *retiredTable) at(sequence uint64) *retiredClaim {
	offset := sequence - t.first
	return &t.chunks[offset/retiredChunk][offset%retiredChunk]
}

func (t *retiredTable) push(r retiredClaim) {
	last := len(t.chunks) - 1
	if last < 0 || len(t.chunks[last]) == retiredChunk {
		t.chunks = append(t.chunks, make([]retiredClaim, 0, retiredChunk))
		last++
	}
	t.chunks[last] = append(t.chunks[last], r)
	t.index[r.key] = t.next
	t.next++
}

// find returns the retired claim that holds a key at logTime, or nil.
func (t *retiredTable) find(workspace, key string, logTime int64) *retiredClaim {
	if len(t.index) == 0 {
		return nil
	}
	sequence, found := t.index[hashKey(workspace, key)]
	if !found {
		return nil
	}
	if r := t.at(sequence); r.expires > logTime {
		return r
	}
	return nil
}

// expire removes the oldest claims whose TTL has passed, at most limit.
func (t *retiredTable) expire(logTime int64, limit int) {
	for range limit {
		if t.head == t.next || t.at(t.head).expires > logTime {
			return
		}
		if key := t.at(t.head).key; t.index[key] == t.head {
			delete(t.index, key)
		}
		t.head++
		if t.head-t.first == retiredChunk {
			t.chunks = t.chunks[1:]
			t.first = t.head
		}
	}
}

// capture returns the records that are kept now. They are immutable and may be read while
// later commands are applied.
func (t *retiredTable) capture() [][]retiredClaim {
	captured := append([][]retiredClaim(nil), t.chunks...)
	if len(captured) > 0 {
		captured[0] = captured[0][t.head-t.first:]
	}
	return captured
}

func encodeRetired(chunks [][]retiredClaim) []byte {
	var data []byte
	for _, chunk := range chunks {
		for i := range chunk {
			r := &chunk[i]
			data = append(append(data, r.key[:]...), r.digest[:]...)
			data = binary.BigEndian.AppendUint64(data, r.id)
			data = binary.BigEndian.AppendUint64(data, uint64(r.expires))
			data = binary.BigEndian.AppendUint32(data, uint32(r.status))
		}
	}
	return data
}

// decode appends the claims encoded by encodeRetired; the length of data must be a multiple
// of retiredBytes.
func (t *retiredTable) decode(data []byte) {
	for ; len(data) > 0; data = data[retiredBytes:] {
		fields := data[hashBytes+digestBytes:]
		t.push(retiredClaim{
			key: keyHash(data[:hashBytes]), digest: [digestBytes]byte(data[hashBytes : hashBytes+digestBytes]),
			id: binary.BigEndian.Uint64(fields), expires: int64(binary.BigEndian.Uint64(fields[8:])),
			status: int32(binary.BigEndian.Uint32(fields[16:])),
		})
	}
}
