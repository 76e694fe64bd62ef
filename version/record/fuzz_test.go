package record

import (
	"reflect"
	"testing"
)

// FuzzDecode guards against a record that stops a daemon, and against one that
// is accepted and cannot be written and read again without a change.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			if !reflect.DeepEqual(r, Record{}) {
				t.Errorf("a part of a faulty record was returned: %+v", r)
			}
			return
		}
		again, err := r.Encode()
		if err != nil {
			t.Skipf("not written again: %v", err) // such as a year beyond 9999
		}
		r2, err := Decode(again)
		if err != nil {
			t.Fatalf("%s: %v", again, err)
		}
		third, err := r2.Encode()
		if err != nil || string(third) != string(again) {
			t.Errorf("got %s, %v, want %s", third, err, again)
		}
	})
}
