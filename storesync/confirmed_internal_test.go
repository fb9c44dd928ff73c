package storesync

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/roster"
	"github.com/chestnutfield/chestnutfield/table"
)

// Guards against an unknown key that is refused as if the configuration were unknown
// because newer tables are on their way.
func TestTablesStayConfirmedWhileNewerOnesAreFetched(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	f := &Follower{Options: Options{Clock: clock}, tablesWake: make(chan struct{}, 1)}
	f.tables.Store(&table.Tables{Version: 4})
	f.confirmTables(clock.Now())
	f.noteTablesVersion(roster.Host{Name: "reader"}, clock.Now(), 5, 0)
	g.Expect(f.TablesConfirmed()).To(BeTrue())
	g.Expect(f.tablesConfirmedAt.IsZero()).To(BeTrue(), "the newer ones are fetched at once")
	clock.Advance(maxTablesDelay + time.Millisecond)
	g.Expect(f.TablesConfirmed()).To(BeFalse())
}

// Guards against tables that count as the newest although the store holds newer ones
// which this host can't use.
func TestTablesAreUnconfirmedWhileNewerOnesCanNotBeUsed(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	f := &Follower{Options: Options{Clock: clock, Logger: zap.NewNop()}, tablesMetrics: newTablesMetrics(), evacuationMetrics: newEvacuationMetrics()}
	f.tables.Store(&table.Tables{Version: 4})
	f.confirmTables(clock.Now())
	f.applyTables(TablesReading{Problem: errors.New("not readable")})
	f.applyTables(TablesReading{})
	g.Expect(f.TablesConfirmed()).To(BeFalse())
	f.install(&table.Tables{Version: 5}, clock.Now().Add(-time.Millisecond))
	f.applyTables(TablesReading{})
	g.Expect(f.TablesConfirmed()).To(BeFalse(), "a version between arrived from another host")
	f.applyTables(TablesReading{Tables: &table.Tables{Version: 6}})
	g.Expect(f.TablesConfirmed()).To(BeTrue())
}
