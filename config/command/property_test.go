package command_test

import (
	"context"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/cloud/fake"
	"github.com/chestnutfield/chestnutfield/config/command"
	"github.com/chestnutfield/chestnutfield/config/query"
)

// faultyTable is a table service whose transactions fail at random. Delayed
// transactions are applied at random later times.
type faultyTable struct {
	*fake.Table
	t       *rapid.T
	delayed [][]cloud.Write
}

func (f *faultyTable) Transact(ctx context.Context, ws []cloud.Write) error {
	f.applyDelayed(ctx)
	switch rapid.SampledFrom([]string{"sound", "sound", "down", "ack lost", "request lost", "late"}).Draw(f.t, "fault") {
	case "down":
		return cloud.ErrUnavailable
	case "ack lost":
		_ = f.Table.Transact(ctx, ws)
		return cloud.ErrUncertain
	case "request lost":
		return cloud.ErrUncertain
	case "late":
		f.delayed = append(f.delayed, ws)
		return cloud.ErrUncertain
	}
	return f.Table.Transact(ctx, ws)
}

// applyDelayed applies a random number of the delayed transactions.
func (f *faultyTable) applyDelayed(ctx context.Context) {
	for len(f.delayed) > 0 && rapid.Bool().Draw(f.t, "arrives") {
		_ = f.Table.Transact(ctx, f.delayed[0])
		f.delayed = f.delayed[1:]
	}
}

// TestResultsAreTrue checks under random faults of the table service that a
// change reported as accepted is in the history once, that one reported as not
// stored is never there, and that versions grow by one.
func TestResultsAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		store := &faultyTable{Table: fake.NewTable(), t: t}
		c := command.New(command.Options{Store: store, Backoff: backoff})
		results := map[string]command.Result{}
		for i := range rapid.IntRange(1, 8).Draw(t, "changes") {
			id := fmt.Sprintf("%08d", i)
			if i > 0 && rapid.Bool().Draw(t, "again") {
				id = fmt.Sprintf("%08d", rapid.IntRange(0, i-1).Draw(t, "id"))
			}
			res := c.Do(ctx, applyPools(id, "pool-"+id))
			if res.State == command.Unavailable && results["change-"+id].State == command.Unknown {
				continue // a delayed transaction of the earlier call may still be applied
			}
			results["change-"+id] = res
		}
		for _, ws := range store.delayed {
			_ = store.Table.Transact(ctx, ws)
		}
		checkHistory(ctx, t, store.Table, results)
	})
}

func checkHistory(ctx context.Context, t *rapid.T, store *fake.Table, results map[string]command.Result) {
	history, err := query.New(store).History(ctx, query.MaxHistory)
	if err != nil {
		t.Fatal(err)
	}
	versions := map[string]uint64{}
	for i, change := range history {
		if change.Version != uint64(i+1) || versions[change.ID] != 0 {
			t.Fatalf("history at %d: %+v", i, change)
		}
		versions[change.ID] = change.Version
	}
	for id, res := range results {
		switch res.State {
		case command.Accepted:
			if versions[id] != res.Version {
				t.Fatalf("%s accepted as %d, history has %d", id, res.Version, versions[id])
			}
		case command.Unknown:
		default:
			if versions[id] != 0 {
				t.Fatalf("%s reported %s, history has it as version %d", id, res.State, versions[id])
			}
		}
	}
}
