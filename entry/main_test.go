package entry_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if a goroutine is still running after the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
