package host

import (
	"context"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/quarantine"
)

const (
	// suspectPartition holds a row for each target that ended under a suspect request.
	suspectPartition = "crash-suspects"
	// suspectRetention is the time after which the platform may delete such a row:
	// longer than it counts.
	suspectRetention = 24 * time.Hour
	// suspectPageRows is the number of rows that one query asks for.
	suspectPageRows = 200
	// suspectCallTimeout bounds one change or one reading of all rows.
	suspectCallTimeout = 2 * time.Second
)

var _ quarantine.Store = suspectRows{}

// suspectRows keeps the records of the guard in the table service. Rows are written
// without a condition: writers of the same key write the same loss.
type suspectRows struct {
	table cloud.Table
	clock clockwork.Clock
}

// SaveSuspects implements quarantine.Store.
func (s suspectRows) SaveSuspects(rows map[string][]byte) error {
	now := s.clock.Now()
	return s.transact(lo.MapToSlice(rows, func(key string, value []byte) cloud.Write {
		return cloud.Write{Row: cloud.Row{
			Key: cloud.Key{Partition: suspectPartition, Sort: key}, Revision: 1, Writer: strconv.FormatInt(now.UnixNano(), 36),
			Body: value, Expires: now.Add(suspectRetention),
		}}
	}))
}

// DeleteSuspects implements quarantine.Store.
func (s suspectRows) DeleteSuspects(keys []string) error {
	return s.transact(lo.Map(keys, func(key string, _ int) cloud.Write {
		return cloud.Write{Row: cloud.Row{Key: cloud.Key{Partition: suspectPartition, Sort: key}}, Delete: true}
	}))
}

func (s suspectRows) transact(writes []cloud.Write) error {
	ctx, cancel := context.WithTimeout(context.Background(), suspectCallTimeout)
	defer cancel()
	return s.table.Transact(ctx, writes)
}

// Suspects implements quarantine.Store.
func (s suspectRows) Suspects() (map[string][]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), suspectCallTimeout)
	defer cancel()
	found := map[string][]byte{}
	for after := ""; ; {
		rows, err := s.table.Query(ctx, suspectPartition, after, suspectPageRows)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			found[r.Sort], after = r.Body, r.Sort
		}
		if len(rows) < suspectPageRows {
			return found, nil
		}
	}
}
