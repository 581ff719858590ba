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

// settingsInterval is the time between two looks at the settings file, which
// may change without a signal.
const settingsInterval = 5 * time.Second

// followSettings reads the settings again after SIGHUP and at intervals.
func (p *process) followSettings(ctx context.Context) error {
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

// reload takes over what may change in a running process: bounds, the model of
// the engines, seeds and the log level. Other keys need a restart. It returns
// the settings that are current then.
func (p *process) reload(current *settings.Front, cause string) *settings.Front {
	log := p.log.WithFields(logrus.Fields{"event": "reload", "cause": cause})
	next, err := settings.LoadFront(p.file)
	if err != nil {
		log.WithError(err).Warn("settings were not taken over")
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
	expected := *current
	expected.Seeds, expected.Log, expected.Engine, expected.Bounds = next.Seeds, next.Log, next.Engine, next.Bounds
	if !reflect.DeepEqual(&expected, next) {
		log.Warn("some settings take effect at the next start only")
	}
	log.Info("settings were taken over")
	return next
}
