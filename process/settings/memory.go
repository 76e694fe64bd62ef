package settings

import (
	"os"
	"strconv"
	"strings"
)

const (
	// DefaultBodyBytes bounds the memory for bodies unless BodyBytes is set.
	DefaultBodyBytes = 64 << 20
	// minMemoryBytes is the smallest allowed MemoryBytes: what a daemon takes at rest.
	minMemoryBytes = 32 << 20
	// minBodyBytes is the smallest allowed BodyBytes.
	minBodyBytes = 1 << 20
	// bodyDivisor divides the memory to give the part for bodies. The rest is for the
	// control state, connections and what the garbage collector has not freed yet.
	bodyDivisor = 2
	// collectPercent is the part of the memory, in percent, from which on the garbage
	// collector runs more often.
	collectPercent = 80
	// memoryInfo is the file in which the operating system reports the memory.
	memoryInfo = "/proc/meminfo"
)

// Memory returns the memory in bytes that the daemon may use, or zero if it is not known.
func (s Settings) Memory() int64 {
	if s.MemoryBytes > 0 {
		return s.MemoryBytes
	}
	data, err := os.ReadFile(memoryInfo)
	if err != nil {
		return 0
	}
	return totalMemory(string(data))
}

// totalMemory returns the total in bytes that a memory report states.
func totalMemory(report string) int64 {
	for line := range strings.Lines(report) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "MemTotal:" {
			continue
		}
		kb, err := strconv.ParseInt(fields[1], 10, 64)
		if err != nil {
			return 0
		}
		return kb << 10
	}
	return 0
}

// BodyMemory returns the bound in bytes of the memory for bodies.
func (s Settings) BodyMemory() int64 {
	if s.BodyBytes > 0 {
		return s.BodyBytes
	}
	if n := s.Memory(); n > 0 {
		return min(n/bodyDivisor, DefaultBodyBytes)
	}
	return DefaultBodyBytes
}

// CollectAbove returns the memory in bytes from which on garbage is collected more often,
// or zero if the memory is not known.
func (s Settings) CollectAbove() int64 { return s.Memory() / 100 * collectPercent }
