package record_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if goroutines of the tests still run after all tests have finished.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
