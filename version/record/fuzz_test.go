package record

import (
	"reflect"
	"testing"
)

// FuzzDecode guards against a record that crashes a daemon, and against an
// accepted record that changes when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			if !reflect.DeepEqual(r, Record{}) {
				t.Errorf("invalid record: got %+v, want the zero record", r)
			}
			return
		}
		again, err := r.Encode()
		if err != nil {
			t.Skipf("record cannot be encoded again: %v", err) // such as a year beyond 9999
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
