package quarantine

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/registry"
)

type storedRows map[string][]byte

func (s storedRows) Suspects() (map[string][]byte, error) { return s, nil }
func (s storedRows) SaveSuspects(map[string][]byte) error { return nil }
func (s storedRows) DeleteSuspects([]string) error        { return nil }

// Guards against thousands of lines about thousands of odd rows, and against their
// repetition each time that the records are read.
func TestOddRowsAreLoggedInFewLines(t *testing.T) {
	g, rows := NewWithT(t), storedRows{}
	clock := clockwork.NewFakeClock()
	now := clock.Now().UnixMilli()
	core, logged := observer.New(zapcore.InfoLevel)
	guard := &Guard{Options: Options{Store: rows, Logger: zap.New(core), Clock: clock}, book: NewBook(), writes: make(chan storeWrite, 10)}
	load := func() []observer.LoggedEntry {
		logged.TakeAll()
		for range 5 {
			g.Expect(guard.load()).To(BeTrue())
		}
		return logged.FilterMessageSnippet("malformed").All()
	}
	for i, at := range []int64{now, -1 << 63, 1<<63 - 1} {
		rows[fmt.Sprint("good", i)] = fmt.Appendf(nil, `{"content":"a%d","id":"t","started":1,"at":%d}`, i, at)
	}
	for i := range 1000 {
		rows[fmt.Sprint("odd", i)] = fmt.Appendf(nil, `{"content":%d}`, i)
	}
	lines := load()
	g.Expect(len(lines)).To(BeNumerically("<=", 5))
	g.Expect(lines[len(lines)-1].ContextMap()).To(HaveKeyWithValue("rows", int64(1000)))
	g.Expect(load()).To(BeEmpty())
	rows["odd"] = nil
	g.Expect(load()).To(HaveLen(1))
	_, known := guard.book.Record(0xa0)
	g.Expect(known).To(BeTrue())
}

// Guards against losses that the store refuses, with all others of their record, as the
// key of their row is longer than 200 bytes, and against a record that fits no message.
func TestLossesAtTargetsWithLongIDsAreStored(t *testing.T) {
	g, now := NewWithT(t), time.Now()
	r := Record{Content: math.MaxUint64, ClearedAt: now.Add(-time.Hour)}
	for i := range maxLosses {
		id := strings.Repeat("x", 199) + strconv.Itoa(i)
		r.Losses = append(r.Losses, Loss{Instance: registry.Instance{ID: id, StartedMillis: 1 << 53}, At: now})
	}
	rows, err := encodeRows(r)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rows).To(HaveLen(maxLosses))
	for key, value := range rows {
		g.Expect(len(key)).To(BeNumerically("<=", 200))
		stored, err := decodeRow(now, key, value)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(stored.Losses[0].rowKey(r.Content)).To(Equal(key))
	}
	told, err := cbor.Marshal(newRecordNotice(now, r))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(told)).To(BeNumerically("<", hostmsg.MaxBytes-20))
}
