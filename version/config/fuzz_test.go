package config

import "testing"

// FuzzParse guards against a configuration that crashes the client, and against
// one that Parse accepts and a daemon would refuse.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, err := Parse(data)
		if err != nil {
			return
		}
		if err := cfg.Validate(); err != nil {
			t.Errorf("accepted a configuration that is not valid: %v", err)
		}
		if d := Diff(cfg, cfg); !d.Empty() {
			t.Errorf("a configuration differs from itself: %+v", d)
		}
		next := Apply(Config{}, Diff(Config{}, cfg))
		if err := next.Validate(); err != nil {
			t.Errorf("applied to the empty configuration: %v", err)
		}
	})
}
