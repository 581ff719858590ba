package frontend

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/settings"
)

// settingsInterval is the interval between two reads of the settings file, which
// may change without a signal.
const settingsInterval = 5 * time.Second

// watchSettings is the loop of the duty that reloads the settings after SIGHUP and
// at intervals.
func (p *process) watchSettings(ctx context.Context) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	current := p.settings
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangup:
			current = p.reload(current, "signal")
		case <-ticker.C:
			current = p.reload(current, "interval")
		}
	}
}

// reload reads the settings file and applies the changes of placementOptions, the
// seeds and the log level. Other changes, also of the bounds lease and grace, require
// a restart. It returns the settings read, or the current ones on an error.
func (p *process) reload(current *settings.Front, cause string) *settings.Front {
	log := p.log.WithFields(logrus.Fields{"event": "reload", "cause": cause})
	next, err := settings.LoadFront(p.settingsFile)
	if err != nil {
		log.WithError(err).Warn("settings were not reloaded")
		return current
	}
	if reflect.DeepEqual(current, next) {
		return current
	}
	p.fleet.SetSeeds(next.Seeds)
	p.gateway.SetPlacementOptions(placementOptions(next))
	if level, err := logrus.ParseLevel(next.Log.Level); err == nil {
		p.log.SetLevel(level)
	}
	if needsRestart(current, next) {
		log.Warn("some changed settings take effect only after a restart")
	}
	log.Info("settings were reloaded")
	return next
}

// needsRestart reports whether settings have changed that reload does not apply. The
// bounds for leases and for planned stops are read at the start only.
func needsRestart(current, next *settings.Front) bool {
	applied := *current
	applied.Seeds, applied.Log, applied.Engine, applied.Bounds = next.Seeds, next.Log, next.Engine, next.Bounds
	applied.Bounds.Lease, applied.Bounds.Grace = current.Bounds.Lease, current.Bounds.Grace
	return !reflect.DeepEqual(&applied, next)
}
