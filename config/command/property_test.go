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

// moody is a table service whose transactions meet drawn faults. Requests
// that are on their way apply at drawn later times.
type moody struct {
	*fake.Table
	t    *rapid.T
	late [][]cloud.Write
}

func (m *moody) Transact(ctx context.Context, ws []cloud.Write) error {
	m.deliver(ctx)
	switch rapid.SampledFrom([]string{"sound", "sound", "down", "ack lost", "request lost", "late"}).Draw(m.t, "fault") {
	case "down":
		return cloud.ErrUnavailable
	case "ack lost":
		_ = m.Table.Transact(ctx, ws)
		return cloud.ErrUncertain
	case "request lost":
		return cloud.ErrUncertain
	case "late":
		m.late = append(m.late, ws)
		return cloud.ErrUncertain
	}
	return m.Table.Transact(ctx, ws)
}

// deliver lets some of the requests on their way arrive.
func (m *moody) deliver(ctx context.Context) {
	for len(m.late) > 0 && rapid.Bool().Draw(m.t, "arrives") {
		_ = m.Table.Transact(ctx, m.late[0])
		m.late = m.late[1:]
	}
}

// TestResultsAreTrue: whatever the store does, a change that was reported as
// accepted stands in the history once, one that was reported as not stored
// never does, and versions grow one by one.
func TestResultsAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		store := &moody{Table: fake.NewTable(), t: t}
		c := command.New(command.Options{Store: store, Backoff: backoff})
		results := map[string]command.Result{}
		for i := range rapid.IntRange(1, 8).Draw(t, "changes") {
			id := fmt.Sprintf("%08d", i)
			if i > 0 && rapid.Bool().Draw(t, "again") {
				id = fmt.Sprintf("%08d", rapid.IntRange(0, i-1).Draw(t, "id"))
			}
			res := c.Do(ctx, applyPools(id, "pool-"+id))
			if res.State == command.Unavailable && results["change-"+id].State == command.Unknown {
				continue // a copy from the earlier call may still be on its way
			}
			results["change-"+id] = res
		}
		for _, ws := range store.late {
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
