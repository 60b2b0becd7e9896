package ingress

import (
	"math"
	"time"
)

// Limits for each request. No client within the limits that the deployment promises reaches them: heads of 16 KiB, submissions of 256 KiB, announcements of 4 MiB, links of 2 Mbit/s.
const (
	MaxHeadBytes   = 16 << 10               // of a request's head; net/http allows another 4 KiB
	HeadTimeout    = 3 * time.Second        // for a request's head
	IdleTimeout    = 2 * time.Minute        // between two requests on a connection
	bodyStartTime  = 5 * time.Second        // for a body, in addition to the time that it takes at minBodyRate
	minBodyRate    = 16 << 10               // bytes per second; a sixteenth of a link of 2 Mbit/s
	rateStep       = 16 << 10               // bytes after which the deadline of a body is extended
	discardTime    = 500 * time.Millisecond // for reading what a refused client has sent already
	maxFramingRate = 8                      // bytes on the wire per byte of a chunked body; chunks of one byte take 6
	shortAnswer    = 2 << 10                // bytes of a write; net/http writes 4 KiB or more while the handler runs
	framingAllowed = 64 << 10               // bytes on the wire of a chunked body in addition
)

// Costs in bytes of memory.
const (
	freeHeadBytes  = 8 << 10                                // of a head that are not charged
	freeBodyBytes  = 8 << 10                                // of a body that are not charged, so that ordinary bodies pass beside many large ones
	freeDecodeCost = 16 << 10                               // of decoding that is not charged
	connectionCost = 24<<10 + freeBodyBytes + freeHeadBytes // buffers of net/http, a stack, and the free shares
	headByteCost   = 3                                      // per byte of a head: as read, as text, and garbage
	headLineCost   = 160                                    // per line of a head: entries of the header map
	bodyByteCost   = 2                                      // per byte of a body while it is decoded: its strings and what is sent on
	objectCost     = 768                                    // per object in a body: a step of a submission takes 520 bytes decoded and converted, and its list is copied as it grows
	elementCost    = 64                                     // per element of a list or object in a body
)

// maxDecodeFactor bounds the estimated memory for decoding one body, by the largest body that is allowed. The largest valid submission, of 1,000 steps, costs a twentieth of that.
const maxDecodeFactor = 64

const (
	reservedFDs     = 200 // of a machine's descriptors
	reservedClients = 32  // connections to each listener for health and metrics
	memoryPercent   = 65  // of the memory, beyond which the runtime collects garbage more often
)

// assumedFDs are the descriptors of a process if they are not set.
const assumedFDs = 4096

// Limits bounds what all clients of a process take together.
type Limits struct {
	Connections int   // of clients
	Reading     int64 // bytes held for heads and bodies that are being read
	Decoding    int64 // estimated bytes for decoding bodies
	OneDecoding int64 // the most for one body; a single one may exceed Decoding if no other is being decoded
	Soft        int64 // soft memory limit of the runtime
}

// assumedMemoryMB is the memory of the smallest machine, for which limits are derived if the memory is not set.
const assumedMemoryMB = 184

// LimitsFor derives the limits from the memory in MiB, 0 if it is not set, and the descriptors of a process. Half of the descriptors remain for the process's own links, files and health checks.
// The runtime gets a soft limit only if the memory is set, as a process with more live memory would spend its time on collecting garbage.
func LimitsFor(memoryMB, maxFDs int64) Limits {
	soft := int64(math.MaxInt64)
	if memoryMB > 0 {
		soft = memoryMB << 20 / 100 * memoryPercent
	} else {
		memoryMB = assumedMemoryMB
	}
	memory := memoryMB << 20
	return Limits{
		Connections: int(max(1, min((maxFDs-min(reservedFDs, maxFDs/4))/2, memory/3/connectionCost))),
		Reading:     memory / 10,
		Decoding:    memory / 8,
		OneDecoding: memory / 3,
		Soft:        soft,
	}
}
