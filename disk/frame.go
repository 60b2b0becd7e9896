package disk

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is the unit that one sync makes durable. It consists of the payload's length, the payload's checksum, a checksum of these two fields, and the payload.
const (
	headerBytes = 12
	sectorBytes = 512 // unit that a disk writes atomically
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeFrame returns the payload preceded by its header.
func encodeFrame(payload []byte) []byte {
	b := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(b[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(b[8:], crc32.Checksum(b[:8], castagnoli))
	return append(b, payload...)
}

// decodeFrame returns the payload of the frame at the start of b and the frame's size; ok is false if there is no valid one.
func decodeFrame(b []byte) (payload []byte, size int, ok bool) {
	length, ok := decodeHeader(b)
	if !ok || len(b)-headerBytes < length {
		return nil, 0, false
	}
	payload = b[headerBytes : headerBytes+length]
	sum := binary.LittleEndian.Uint32(b[4:])
	return payload, headerBytes + length, crc32.Checksum(payload, castagnoli) == sum
}

// decodeHeader returns the payload's length and whether the bytes before the payload are complete and match their checksum.
func decodeHeader(b []byte) (length int, ok bool) {
	if len(b) < headerBytes {
		return 0, false
	}
	sum := binary.LittleEndian.Uint32(b[8:])
	length = int(binary.LittleEndian.Uint32(b))
	return length, crc32.Checksum(b[:8], castagnoli) == sum
}

// torn reports whether b, the bytes after the last valid frame, which start at offset in their file, are a write that a crash interrupted.
// Such a write ends early or has sectors that were never written and read as zeros; anything else is corruption.
func torn(b []byte, offset int) bool {
	for at := 1; at+headerBytes <= len(b); at++ {
		if _, _, ok := decodeFrame(b[at:]); ok {
			return false
		}
	}
	length, ok := decodeHeader(b)
	if ok && len(b) < headerBytes+length {
		return true
	}
	return len(b) < headerBytes || unwrittenSector(b, offset)
}

// unwrittenSector reports whether the part within b of any sector of the file is all zeros.
func unwrittenSector(b []byte, offset int) bool {
	for start := 0; start < len(b); {
		end := min(len(b), start+sectorBytes-(offset+start)%sectorBytes)
		if allZero(b[start:end]) {
			return true
		}
		start = end
	}
	return false
}

func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}
