package autoscale_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain checks that no goroutines remain after the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
