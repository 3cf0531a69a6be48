package wal

import (
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

// recordKind is the type of a frame's payload.
type recordKind byte

const (
	recordHeader   recordKind = 1
	recordEntry    recordKind = 2
	recordState    recordKind = 3
	recordSnapshot recordKind = 4
)

// A frame is a fixed header and a payload:
//
//	length of the payload   4 bytes, little endian
//	sync count              4 bytes, number of syncs before it in the segment
//	kind                    1 byte
//	checksum of the header  4 bytes, CRC-32C of the nine bytes above
//	checksum of the payload 4 bytes, CRC-32C that continues the payload
//	                        checksum of the previous frame
//
// The separate header checksum distinguishes a corrupt length from a torn
// payload. The chained payload checksum detects frames that were lost or moved
// in the middle of a segment. The sync count distinguishes a torn frame from a
// corrupt one: a frame that is followed by one written after a later sync had
// been durable.
const (
	headerSummedSize = 9
	frameHeaderSize  = headerSummedSize + 8
	sectorSize       = 512
	// maxPayloadSize bounds a record on writing and reading. Snapshots are the
	// largest records.
	maxPayloadSize = 1<<31 - 1
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends one frame to buffer. It returns the buffer and the new
// chained payload checksum.
func appendFrame(buffer []byte, chain, syncCount uint32, kind recordKind, message proto.Message) ([]byte, uint32, error) {
	start := len(buffer)
	buffer = append(buffer, make([]byte, frameHeaderSize)...)
	buffer, err := proto.MarshalOptions{}.MarshalAppend(buffer, message)
	if err != nil {
		return buffer[:start], chain, err
	}
	header := buffer[start : start+frameHeaderSize]
	payload := buffer[start+frameHeaderSize:]
	if len(payload) > maxPayloadSize {
		return buffer[:start], chain, errRecordTooLarge
	}
	chain = crc32.Update(chain, castagnoli, payload)
	binary.LittleEndian.PutUint32(header[0:4], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:8], syncCount)
	header[8] = byte(kind)
	binary.LittleEndian.PutUint32(header[9:13], crc32.Checksum(header[:headerSummedSize], castagnoli))
	binary.LittleEndian.PutUint32(header[13:17], chain)
	return buffer, chain, nil
}

// frameStatus is the outcome of reading one frame.
type frameStatus int

const (
	frameValid frameStatus = iota
	frameEnd
	frameTorn
	frameCorrupt
)

// frame is one decoded frame.
type frame struct {
	kind      recordKind
	syncCount uint32
	payload   []byte
	chain     uint32
	size      int
}

// readFrame reads the frame at offset of data. chain and syncCount are those of
// the previous frame.
func readFrame(data []byte, offset int, chain, syncCount uint32) (frame, frameStatus) {
	rest := data[offset:]
	if len(rest) == 0 {
		return frame{}, frameEnd
	}
	if len(rest) < frameHeaderSize {
		return frame{}, frameTorn
	}
	length, frameSyncCount, ok := readHeader(rest)
	if !ok {
		return frame{}, classifyMismatch(data, offset, frameHeaderSize, syncCount+1)
	}
	if length > maxPayloadSize {
		return frame{}, frameCorrupt
	}
	size := frameHeaderSize + length
	if len(rest) < size {
		return frame{}, frameTorn
	}
	payload := rest[frameHeaderSize:size]
	sum := crc32.Update(chain, castagnoli, payload)
	if sum != binary.LittleEndian.Uint32(rest[13:17]) {
		return frame{}, classifyMismatch(data, offset, size, frameSyncCount)
	}
	return frame{recordKind(rest[8]), frameSyncCount, payload, sum, size}, frameValid
}

// readHeader returns the payload length and the sync count of the frame header
// that data starts with. ok is false if the header checksum does not match.
func readHeader(data []byte) (length int, syncCount uint32, ok bool) {
	if crc32.Checksum(data[:headerSummedSize], castagnoli) != binary.LittleEndian.Uint32(data[9:13]) {
		return 0, 0, false
	}
	return int(binary.LittleEndian.Uint32(data[0:4])), binary.LittleEndian.Uint32(data[4:8]), true
}

// classifyMismatch decides whether a frame with a checksum mismatch is torn or
// corrupt. It is torn if it lacks a sector, which then reads as zeros, and no
// frame with a higher sync count follows. Otherwise bits were flipped in durable
// data.
func classifyMismatch(data []byte, offset, size int, syncCount uint32) frameStatus {
	if laterSyncFollows(data, offset+1, syncCount) {
		return frameCorrupt
	}
	for start := offset; start < offset+size; {
		next := min((start/sectorSize+1)*sectorSize, len(data))
		if next-start >= frameHeaderSize && allZero(data[start:next]) {
			return frameTorn
		}
		start = next
	}
	return frameCorrupt
}

// laterSyncFollows reports whether any offset from start on holds the header of
// a frame whose sync count is above syncCount.
func laterSyncFollows(data []byte, start int, syncCount uint32) bool {
	for offset := start; offset+frameHeaderSize <= len(data); offset++ {
		kind := recordKind(data[offset+8])
		if kind < recordHeader || kind > recordSnapshot {
			continue
		}
		if _, foundSyncCount, ok := readHeader(data[offset:]); ok && foundSyncCount > syncCount {
			return true
		}
	}
	return false
}

func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}

// decodeRecord decodes the payload of a frame into its typed message.
func decodeRecord(f frame) (proto.Message, error) {
	var message proto.Message
	switch f.kind {
	case recordHeader:
		message = &pb.SegmentHeader{}
	case recordEntry:
		message = &pb.Entry{}
	case recordState:
		message = &pb.HardState{}
	case recordSnapshot:
		message = &pb.SnapshotMark{}
	default:
		return nil, errUnknownKind
	}
	return message, proto.Unmarshal(f.payload, message)
}
