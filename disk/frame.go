package disk

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is what one sync makes durable: length, checksum of the payload, checksum of the two, payload.
const (
	headerBytes = 12
	sectorBytes = 512 // what a disk writes whole or not at all
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame returns the payload with its header before it.
func frame(payload []byte) []byte {
	b := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(b[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(b[8:], crc32.Checksum(b[:8], castagnoli))
	return append(b, payload...)
}

// unframe returns the payload of the frame at the start of b and the frame's size; ok is false if there is no valid one.
func unframe(b []byte) (payload []byte, size int, ok bool) {
	length, ok := header(b)
	if !ok || len(b)-headerBytes < length {
		return nil, 0, false
	}
	payload = b[headerBytes : headerBytes+length]
	sum := binary.LittleEndian.Uint32(b[4:])
	return payload, headerBytes + length, crc32.Checksum(payload, castagnoli) == sum
}

// header returns the length of the payload that a valid header announces.
func header(b []byte) (length int, ok bool) {
	if len(b) < headerBytes {
		return 0, false
	}
	sum := binary.LittleEndian.Uint32(b[8:])
	length = int(binary.LittleEndian.Uint32(b))
	return length, crc32.Checksum(b[:8], castagnoli) == sum
}

// torn says whether the bytes after the last valid frame, from offset on in their file, are a write that a crash cut short.
// Such a write ends early or has sectors that were never written and read as zeros; anything else is corruption.
func torn(b []byte, offset int) bool {
	for at := 1; at+headerBytes <= len(b); at++ {
		if _, _, ok := unframe(b[at:]); ok {
			return false
		}
	}
	length, ok := header(b)
	if ok && len(b) < headerBytes+length {
		return true
	}
	return len(b) < headerBytes || unwrittenSector(b, offset)
}

// unwrittenSector says whether a sector of the file, as far as it lies in b, is all zeros.
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
