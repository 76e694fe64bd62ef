package usage

import (
	"cmp"
	"slices"
)

// WindowCounts holds the requests of each tenant in a window.
type WindowCounts struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// Reports says which windows have been reported. All windows up to UpTo are settled or
// among the pending ones, whose counts are fixed.
type Reports struct {
	UpTo int64 `json:"upTo"`
	// Pending holds the windows whose reports have not been accepted, oldest first.
	Pending []WindowCounts `json:"pending,omitempty"`
}

// find returns the position of a pending window.
func (r Reports) find(window int64) (int, bool) {
	return slices.BinarySearchFunc(r.Pending, window, func(w WindowCounts, id int64) int { return cmp.Compare(w.Window, id) })
}

// settled reports whether nothing is to be done about a window.
func (r Reports) settled(window int64) bool {
	_, pending := r.find(window)
	return window <= r.UpTo && !pending
}

// Merge adds what another daemon or an earlier record knows. A window that one of them
// knows to be settled is settled; if the counts of a window differ, those of r are kept.
func (r Reports) Merge(other Reports) Reports {
	out := Reports{UpTo: max(r.UpTo, other.UpTo)}
	for _, w := range r.Pending {
		if !other.settled(w.Window) {
			out.Pending = append(out.Pending, w)
		}
	}
	for _, w := range other.Pending {
		if _, known := r.find(w.Window); !known && !r.settled(w.Window) {
			out.Pending = append(out.Pending, w)
		}
	}
	slices.SortFunc(out.Pending, func(a, b WindowCounts) int { return cmp.Compare(a.Window, b.Window) })
	return out
}

// With returns the reports with further windows, which follow UpTo.
func (r Reports) With(proposed []WindowCounts) Reports {
	out := Reports{UpTo: r.UpTo, Pending: slices.Clone(r.Pending)}
	for _, w := range proposed {
		if w.Window > out.UpTo {
			out.Pending, out.UpTo = append(out.Pending, w), w.Window
		}
	}
	return out
}

// settle removes a window whose report was accepted or given up.
func (r *Reports) settle(window int64) {
	if i, ok := r.find(window); ok {
		r.Pending = slices.Delete(slices.Clone(r.Pending), i, i+1)
	}
}

// entries returns the number of counts of the pending windows.
func (r Reports) entries() (n int) {
	for _, w := range r.Pending {
		n += len(w.Counts)
	}
	return n
}
