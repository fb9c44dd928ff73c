package soak_test

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/chestnutfield/chestnutfield/lab/soak"
)

// regressions are the seeds that CI plays: those that once broke a promise, with
// the cause.
var regressions = []struct {
	seed  uint64
	hosts int
	cause string
}{
	{35, 8, "hosts ended by themselves: after a loss of all hosts one that knew nothing yet was asked for a snapshot (nil map)"},
	{36, 3, "none: planned work alone"},
}

// binary builds the entry host's program.
func binary(t *testing.T) string {
	t.Helper()
	at := filepath.Join(t.TempDir(), "chestnut-gateway")
	out, err := exec.Command("go", "build", "-o", at, "github.com/chestnutfield/chestnutfield/cmd/chestnut-gateway").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return at
}

func TestPromisesHoldUnderFaults(t *testing.T) {
	program := binary(t)
	for _, r := range regressions {
		t.Run(fmt.Sprint("seed ", r.seed), func(t *testing.T) {
			t.Parallel()
			result, err := soak.Run(soak.Options{
				Seed: r.seed, Length: 20 * time.Second, Binary: program, Dir: t.TempDir(), Hosts: r.hosts, Upstreams: 6, Callers: 6,
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%s: %s", r.cause, result.Summary)
			for _, e := range result.Plan {
				t.Log(e)
			}
			for _, line := range result.Broken {
				t.Error(line)
			}
		})
	}
}
