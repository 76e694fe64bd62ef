package settings

import (
	"context"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
)

// pollInterval is the interval at which the file is checked for a change. A platform
// may change the file without a signal. A check costs one system call.
const pollInterval = 2 * time.Second

// Reloader applies changed settings.
type Reloader interface{ Reload(s Settings) }

// Watch reloads the settings when the file changes and at each signal, until ctx is
// done. If the file cannot be read or is not valid, the current settings stay in force.
func Watch(ctx context.Context, path string, signals <-chan os.Signal, logger hclog.Logger, r Reloader) {
	seen := statFile(path)
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		cause := "signal"
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-t.C:
			if statFile(path) == seen {
				continue
			}
			cause = "change of the file"
		}
		seen = statFile(path)
		s, err := Load(path)
		if err != nil {
			logger.Error("settings refused; the current settings stay in force", "cause", cause, "error", err)
			continue
		}
		logger.Info("settings reloaded", "cause", cause)
		r.Reload(s)
	}
}

// fileStamp identifies a state of a file, to detect changes.
type fileStamp struct {
	modTime time.Time
	size    int64
}

func statFile(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{info.ModTime(), info.Size()}
}
