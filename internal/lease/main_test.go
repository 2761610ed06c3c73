package lease

import (
	"flag"
	"os"
	"testing"
)

// modelChecks is the number of random runs of each model-based test; the flag -rapid.checks overrides it.
const modelChecks = "2000"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", modelChecks); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
