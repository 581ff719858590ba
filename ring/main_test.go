package ring_test

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain sets a fixed seed for the property tests, so that every run checks the
// same cases, and checks that no goroutines remain after the tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}
