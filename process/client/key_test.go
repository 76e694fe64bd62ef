package client

import (
	"bytes"
	"strings"
	"testing"
)

// TestKey guards against a digest that does not match the key that callers send, which
// has no line break, and against a key in the output.
func TestKey(t *testing.T) {
	// The SHA-256 of the letters abc, from FIPS 180-2.
	const digest = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
	for _, tt := range []struct {
		input string
		code  int
	}{
		{"abc", ExitDone},
		{"abc\n", ExitDone},
		{"abc\r\n", ExitDone},
		{"", ExitError},
		{"\n", ExitError},
		{" secret", ExitError},
		{"secret\nsecret", ExitError},
		{strings.Repeat("secret", maxKeyBytes), ExitError},
	} {
		var stdout, stderr bytes.Buffer
		code := Run(t.Context(), []string{"key"}, WithInput(strings.NewReader(tt.input)), WithOutput(&stdout, &stderr))
		if code != tt.code || tt.code == ExitDone && stdout.String() != digest+"\n" {
			t.Errorf("%.20q: got code %d and output %q, want code %d", tt.input, code, stdout.String(), tt.code)
		}
		if all := stdout.String() + stderr.String(); strings.Contains(all, "secret") {
			t.Errorf("%.20q: the output contains the key: %.100s", tt.input, all)
		}
	}
}
