package probe

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
)

// Sizes of the messages in bytes. With the headers of IPv6 and UDP, 48 bytes each time,
// a probe and its answer take 160 bytes.
const (
	probeSize  = 12
	answerSize = 52
)

// messageVersion is the first byte of every message. A daemon drops messages of other
// versions.
const messageVersion = 1

// Kinds of messages, in the second byte.
const (
	kindProbe  = 1
	kindAnswer = 2
)

// Offsets of the fields. All numbers are in network byte order. The bytes between the
// state and the nonce are zero.
const (
	offsetVersion     = 0
	offsetKind        = 1
	offsetState       = 2
	offsetNonce       = 4
	offsetIncarnation = 12
	offsetInFlight    = 20
	offsetLimit       = 24
	offsetAdmits      = 28
	offsetMean        = 32 // microseconds
	offsetRateLimit   = 36
	offsetCapacity    = 44
)

// states holds the states of a load report; the index is sent.
var states = [...]string{"", "warm", "cold", "limited"}

// report is the content of an answer.
type report struct {
	load        request.Load
	incarnation uint64
}

func encodeProbe(b *[probeSize]byte, nonce uint64) {
	*b = [probeSize]byte{offsetVersion: messageVersion, offsetKind: kindProbe}
	binary.BigEndian.PutUint64(b[offsetNonce:], nonce)
}

// decodeProbe returns the nonce of a probe.
func decodeProbe(b []byte) (nonce uint64, ok bool) {
	if len(b) != probeSize || b[offsetVersion] != messageVersion || b[offsetKind] != kindProbe {
		return 0, false
	}
	return binary.BigEndian.Uint64(b[offsetNonce:]), true
}

func encodeAnswer(b *[answerSize]byte, nonce uint64, r report) {
	*b = [answerSize]byte{offsetVersion: messageVersion, offsetKind: kindAnswer}
	for i, s := range states {
		if s == r.load.State {
			b[offsetState] = byte(i)
		}
	}
	binary.BigEndian.PutUint64(b[offsetNonce:], nonce)
	binary.BigEndian.PutUint64(b[offsetIncarnation:], r.incarnation)
	binary.BigEndian.PutUint32(b[offsetInFlight:], clamp(int64(r.load.InFlight)))
	binary.BigEndian.PutUint32(b[offsetLimit:], clamp(int64(r.load.Limit)))
	binary.BigEndian.PutUint32(b[offsetAdmits:], clamp(int64(r.load.Admits)))
	binary.BigEndian.PutUint32(b[offsetMean:], clamp(r.load.Mean.Microseconds()))
	binary.BigEndian.PutUint64(b[offsetRateLimit:], math.Float64bits(r.load.RateLimit))
	binary.BigEndian.PutUint64(b[offsetCapacity:], math.Float64bits(r.load.Capacity))
}

// clamp bounds a number to those that fit into a field and into an int on all
// platforms.
func clamp(n int64) uint32 { return uint32(max(0, min(n, math.MaxInt32))) } //nolint:gosec // bounded

// decodeAnswer returns the nonce and the report of an answer. ok is false if a field is
// out of range.
func decodeAnswer(b []byte) (nonce uint64, r report, ok bool) {
	if len(b) != answerSize || b[offsetVersion] != messageVersion || b[offsetKind] != kindAnswer || int(b[offsetState]) >= len(states) {
		return 0, report{}, false
	}
	inFlight, limit := binary.BigEndian.Uint32(b[offsetInFlight:]), binary.BigEndian.Uint32(b[offsetLimit:])
	admits, mean := binary.BigEndian.Uint32(b[offsetAdmits:]), binary.BigEndian.Uint32(b[offsetMean:])
	if max(inFlight, limit, admits, mean) > math.MaxInt32 {
		return 0, report{}, false
	}
	r = report{incarnation: binary.BigEndian.Uint64(b[offsetIncarnation:]), load: request.Load{
		InFlight: int(inFlight), Limit: int(limit), State: states[b[offsetState]], Admits: int(admits),
		Mean:      time.Duration(mean) * time.Microsecond,
		RateLimit: math.Float64frombits(binary.BigEndian.Uint64(b[offsetRateLimit:])),
		Capacity:  math.Float64frombits(binary.BigEndian.Uint64(b[offsetCapacity:])),
	}}
	if !validRate(r.load.RateLimit) || !validRate(r.load.Capacity) {
		return 0, report{}, false
	}
	return binary.BigEndian.Uint64(b[offsetNonce:]), r, true
}

func validRate(r float64) bool { return r >= 0 && !math.IsInf(r, 0) }
