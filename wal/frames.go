package wal

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
)

// frames reads the frames of a file one by one, so that reading needs no more memory
// than the largest frame.
type frames struct {
	log  *Log
	path string
	file io.Closer
	// reader is at the offset of the next frame.
	reader  *bufio.Reader
	header  [frameHeaderSize]byte
	payload bytes.Buffer // of the last frame; reused
}

func (l *Log) openFrames(path string) (*frames, error) {
	file, err := l.options.FS.Open(path)
	if err != nil {
		return nil, err
	}
	return &frames{log: l, path: path, file: file, reader: bufio.NewReader(file)}, nil
}

func (s *frames) close() { _ = s.file.Close() }

// next reads the frame at offset, where the last one ended. chain and syncCount are
// those of the last frame. The payload is valid until the next call.
func (s *frames) next(offset int, chain, syncCount uint32) (frame, frameStatus, error) {
	f, whole, err := s.read(chain)
	switch {
	case errors.Is(err, io.EOF):
		return frame{}, frameEnd, nil
	case err != nil:
		return frame{}, frameCorrupt, err
	case whole:
		return f, frameValid, nil
	}
	// What follows a damaged frame distinguishes a torn write from corruption.
	data, err := s.log.options.FS.ReadFile(s.path)
	if err != nil {
		return frame{}, frameCorrupt, err
	}
	f, status := readFrame(data, offset, chain, syncCount)
	return f, status, nil
}

// read reads one frame. whole is false if the frame is incomplete or does not match its
// checksums. The error is io.EOF at the end of the file.
func (s *frames) read(chain uint32) (f frame, whole bool, err error) {
	if _, err := io.ReadFull(s.reader, s.header[:]); err != nil {
		return frame{}, false, ignoreTruncation(err)
	}
	length, syncCount, ok := readHeader(s.header[:])
	if !ok || length > maxPayloadSize {
		return frame{}, false, nil
	}
	s.payload.Reset()
	if _, err := io.CopyN(&s.payload, s.reader, int64(length)); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return frame{}, false, ignoreTruncation(err)
	}
	payload := s.payload.Bytes()
	sum := crc32.Update(chain, castagnoli, payload)
	if sum != binary.LittleEndian.Uint32(s.header[13:17]) {
		return frame{}, false, nil
	}
	return frame{recordKind(s.header[8]), syncCount, payload, sum, frameHeaderSize + length}, true, nil
}

// ignoreTruncation returns no error for a file that ends within a frame.
func ignoreTruncation(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return err
}
