package storesync

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/registry"
)

// Guards against hosts that lose their reader, and all read the store, because changed
// entries are too large for a message.
func TestHostsFollowTheirReaderBesideLargeEntries(t *testing.T) {
	for _, c := range []struct {
		entries, bytes int
	}{{1, 2000}, {10, 150}, {60, 400}} {
		t.Run(fmt.Sprintf("%d of %d bytes", c.entries, c.bytes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, fl := NewWithT(t), newScaleFleet(30)
				defer fl.Stop()
				fl.start(fl.hosts...)
				fl.await(fl.hosts, 30*time.Second, fl.knowsAll)
				time.Sleep(10 * time.Second)
				fl.reset()
				began := time.Now()
				write := func(entries []registry.Entry) {
					fl.mu.Lock()
					fl.others = entries
					fl.mu.Unlock()
					time.Sleep(2 * time.Second)
				}
				for sequence := range int64(5) {
					write(lo.Times(c.entries, func(i int) registry.Entry {
						return registry.Entry{
							Instance: registry.Instance{ID: strings.Repeat("i", c.bytes/2) + fmt.Sprint(i)}, Service: strings.Repeat("s", c.bytes/2),
							Slots: 1, Sequence: sequence, Leaving: sequence%2 == 1,
						}
					}))
				}
				write(nil)
				counts := fl.count(began)
				t.Logf("%d reads by %d hosts", counts.reads, counts.readers)
				g.Expect(counts.readers).To(Equal(1))
				for _, h := range fl.hosts {
					g.Expect(h.follower.registry.entries).To(HaveLen(fl.targets))
				}
			})
		})
	}
}

// Guards against hosts that can't read a snapshot, and all read the store, because
// thousands of entries are as large as entries may be.
func TestSnapshotOfThousandsOfLargeEntriesIsReadable(t *testing.T) {
	g, reader := NewWithT(t), newRegistryState()
	text := func(i int) string { return fmt.Sprintf("%0700d", i*7919) }
	reader.replace(1, time.Unix(1_700_000_000, 0), lo.Times(10_000, func(i int) registry.Entry {
		return registry.Entry{Instance: registry.Instance{ID: text(i), StartedMillis: 1}, Service: text(i + 1), FailureDomain: text(i + 2), Slots: 1}
	}))
	sent := content{RegistryVersion: 1, Whole: true, Entries: toWireAll(reader.list())}
	body, err := encodeContent(sent)
	g.Expect(err).NotTo(HaveOccurred())
	t.Logf("%d bytes compressed", len(body))
	g.Expect(len(body)).To(BeNumerically("<", maxSnapshotBytes))
	got, err := decodeContent(body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Entries).To(HaveLen(len(sent.Entries)))
}
