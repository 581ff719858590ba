package frontend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/settings"
)

// Guards against a changed setting that has no effect and is not logged as one that
// requires a restart.
func TestChangesThatNeedRestartAreReported(t *testing.T) {
	changes := map[string]struct {
		edit func(*settings.Front)
		want bool
	}{
		"nothing":     {func(*settings.Front) {}, false},
		"seeds":       {func(s *settings.Front) { s.Seeds = []string{"127.0.0.1:1"} }, false},
		"log level":   {func(s *settings.Front) { s.Log.Level = "debug" }, false},
		"retry slack": {func(s *settings.Front) { s.Bounds.RetrySlack = 7 }, false},
		"lease":       {func(s *settings.Front) { s.Bounds.Lease = time.Second }, true},
		"grace":       {func(s *settings.Front) { s.Bounds.Grace = time.Minute }, true},
		"node":        {func(s *settings.Front) { s.Node = "other" }, true},
	}
	for name, c := range changes {
		var current, next settings.Front
		c.edit(&next)
		require.Equal(t, c.want, needsRestart(&current, &next), name)
	}
}
