package ring_test

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of the random checks, so that every run gives the
// same verdict, and guards against goroutines that outlive the tests that
// started them.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}
