// Package kingcuppitch distributes configuration in a service mesh and routes calls
// according to it.
//
// One daemon runs beside each upstream instance. It accepts calls from any caller,
// chooses route, upstream version, availability zone and instance, and is the only
// path to its own instance. Operators publish configuration with the
// client in cmd/kingcuppitch. The page docs/design.md gives the design.
//
// # Usage
//
//	s, err := settings.Load("kingcuppitchd.toml")
//	if err != nil {
//		return err
//	}
//	d := kingcuppitch.New(kingcuppitch.WithSettings(s), kingcuppitch.WithLogger(logger))
//	err = d.Run(ctx) // returns after ctx is cancelled and all calls are answered
package kingcuppitch

import (
	"context"

	"github.com/hashicorp/go-hclog"
	"github.com/kingcuppitch/kingcuppitch/process/daemon"
	"github.com/kingcuppitch/kingcuppitch/process/settings"
)

// Daemon is the daemon that runs beside one upstream instance.
type Daemon interface {
	// Run serves until ctx is cancelled, then shuts down without interrupting a call.
	Run(ctx context.Context) error
	// Reload applies changed settings. Changes of the settings in settings.Fixed take
	// effect at the next start.
	Reload(s settings.Settings)
}

// Option configures a Daemon.
type Option func(*options)

type options struct {
	settings settings.Settings
	logger   hclog.Logger
	daemon   []daemon.Option
}

// WithSettings sets the settings of the daemon.
func WithSettings(s settings.Settings) Option { return func(o *options) { o.settings = s } }

// WithLogger sets the logger; without it the daemon logs nothing.
func WithLogger(l hclog.Logger) Option { return func(o *options) { o.logger = l } }

// WithPlatform connects the daemon to the users' platform.
func WithPlatform(p daemon.Platform) Option {
	return func(o *options) { o.daemon = append(o.daemon, daemon.WithPlatform(p)) }
}

// New returns a Daemon that is not started.
func New(opts ...Option) Daemon {
	o := options{logger: hclog.NewNullLogger()}
	for _, opt := range opts {
		opt(&o)
	}
	return daemon.New(o.settings, o.logger, o.daemon...)
}
