package settings

import (
	"context"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
)

// watchPeriod is the period in which the file is looked at. A platform may change
// it without a signal; a look costs one system call.
const watchPeriod = 2 * time.Second

// Reloader takes settings that have changed.
type Reloader interface{ Reload(s Settings) }

// Watch reads the settings again when the file changes and at each signal, until
// ctx ends. A file that cannot be used leaves the settings so far in force.
func Watch(ctx context.Context, path string, signals <-chan os.Signal, logger hclog.Logger, r Reloader) {
	seen := stamp(path)
	t := time.NewTicker(watchPeriod)
	defer t.Stop()
	for {
		cause := "signal"
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-t.C:
			if stamp(path) == seen {
				continue
			}
			cause = "change of the file"
		}
		seen = stamp(path)
		s, err := Load(path)
		if err != nil {
			logger.Error("settings refused; those before stay in force", "cause", cause, "error", err)
			continue
		}
		logger.Info("settings reloaded", "cause", cause)
		r.Reload(s)
	}
}

// fileStamp tells one state of a file from another.
type fileStamp struct {
	changed time.Time
	size    int64
}

func stamp(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{info.ModTime(), info.Size()}
}
