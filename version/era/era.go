// Package era makes offsets that never decrease on a log that is restored from copies.
//
// A log that comes back from an older copy loses the records since the copy, and gives
// their offsets out again. It counts such restores: the time between two of them is an
// era. The offsets of the mesh are made of the era and the number of the record on the
// log, so that an offset of a later era is always the larger one, and an offset names one
// record for good. Offsets of era 0 are plain numbers; in decimal, the era is in front of
// the last twelve digits.
//
// # Usage
//
//	offset, err := era.Offset(2, 17) // 2000000000017
//	era.Of(offset)                   // 2
//	era.Number(offset)               // 17
package era

import (
	"fmt"
	"math"
)

// span is the number of offsets of an era.
const span int64 = 1_000_000_000_000

// Largest is the largest era. In it, all numbers below a trillion make an offset.
const Largest = math.MaxInt64/span - 1

// Offset returns the offset of the record with a number in an era.
func Offset(e, number int64) (int64, error) {
	if e < 0 || e > Largest || number < 0 || number >= span {
		return 0, fmt.Errorf("era %d and number %d make no offset", e, number)
	}
	return e*span + number, nil
}

// Of returns the era of an offset.
func Of(offset int64) int64 { return offset / span }

// Number returns the number of an offset on the log.
func Number(offset int64) int64 { return offset % span }

// Start returns the offset before the first record of the era of an offset.
func Start(offset int64) int64 { return offset - Number(offset) }
