package soak_test

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/chestnutfield/chestnutfield/lab/soak"
)

// regressions are the seeds that CI runs. Each once violated a guarantee for the
// stated cause, or covers plans with planned operations only.
var regressions = []struct {
	seed  uint64
	hosts int
	cause string
}{
	{35, 8, "host processes crashed: after all hosts had been killed, a host without any data was asked for a snapshot and wrote to a nil map"},
	{36, 3, "none: the plan has planned operations only"},
	{1008, 5, "none: targets name rate limits and leave while hosts are stopped"},
	{2001, 5, "hosts cut off from upstreams served too few: connections that opened and stayed silent counted as contact"},
	{2005, 5, "none: requests that end upstreams, while hosts are killed and stopped"},
	{3099, 4, "none: cold upstreams, evacuations and a withdrawn key, while the store or its connections fail"},
	{3100, 4, "none: the same with planned operations only"},
	{1000015, 4, "orders that ran and failed with 503, 429, 421 or 408 were answered with that status; malformed responses were passed on"},
}

// buildGateway builds the gateway program and returns its path.
func buildGateway(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "chestnut-gateway")
	out, err := exec.Command("go", "build", "-o", path, "github.com/chestnutfield/chestnutfield/cmd/chestnut-gateway").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

func TestGuaranteesHoldUnderFaults(t *testing.T) {
	binary := buildGateway(t)
	for _, r := range regressions {
		t.Run(fmt.Sprint("seed ", r.seed), func(t *testing.T) {
			t.Parallel()
			result, err := soak.Run(soak.Options{
				Seed: r.seed, Length: 20 * time.Second, Binary: binary, Dir: t.TempDir(), Hosts: r.hosts, Upstreams: 6, Callers: 6,
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%s: %s", r.cause, result.Summary)
			for _, e := range result.Plan {
				t.Log(e)
			}
			for _, line := range result.Violations {
				t.Error(line)
			}
		})
	}
}
