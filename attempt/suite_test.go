package attempt

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// init sets a fixed seed and the number of checks; command-line flags override
// both.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "5000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

func TestAttempt(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "attempt")
}
