package daemon

import (
	"context"
	"log/slog"

	"github.com/hashicorp/go-hclog"
)

// slogHandler forwards records of log/slog, which the actor library uses, to hclog.
type slogHandler struct {
	logger hclog.Logger
}

func newSlog(l hclog.Logger) *slog.Logger { return slog.New(slogHandler{l}) }

func level(l slog.Level) hclog.Level {
	switch {
	case l >= slog.LevelError:
		return hclog.Error
	case l >= slog.LevelWarn:
		return hclog.Warn
	}
	// The actor library logs its own life cycle at level info.
	return hclog.Debug
}

// Enabled implements slog.Handler.
func (h slogHandler) Enabled(_ context.Context, l slog.Level) bool {
	return level(l) >= h.logger.GetLevel()
}

// Handle implements slog.Handler.
func (h slogHandler) Handle(_ context.Context, r slog.Record) error {
	var args []any
	r.Attrs(func(a slog.Attr) bool {
		args = append(args, a.Key, a.Value.Any())
		return true
	})
	h.logger.Log(level(r.Level), r.Message, args...)
	return nil
}

// WithAttrs implements slog.Handler.
func (h slogHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	var args []any
	for _, a := range attrs {
		args = append(args, a.Key, a.Value.Any())
	}
	return slogHandler{h.logger.With(args...)}
}

// WithGroup implements slog.Handler.
func (h slogHandler) WithGroup(name string) slog.Handler { return slogHandler{h.logger.Named(name)} }
