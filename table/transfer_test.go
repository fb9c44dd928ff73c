package table_test

import (
	"bytes"
	"compress/gzip"
	"net/netip"
	"reflect"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/table"
)

// Guards against tables that another host gets with something missing or changed, or
// that it refuses for the size of a row.
func TestTransferFormKeepsEverything(t *testing.T) {
	g := NewWithT(t)
	in := tablesOfRoutes(20_000)
	rank := 2
	in.Routes["split"] = table.Route{Name: "split", PathPrefix: "/\"<é/", Class: table.Order, Split: []table.WeightedPool{{Pool: "b", Weight: 3}},
		Methods: []string{"GET"}, Callers: []string{"c"}, HedgeAfter: time.Second, Upload: true, Public: true, Regions: []string{"r"}}
	in.Pools["b"] = table.Pool{Name: "b", Targets: []table.Target{{Addr: netip.MustParseAddrPort("10.0.0.1:80"), FailureDomain: "a"}}}
	in.Workspaces = map[string]table.Workspace{"w": {Name: "w", Keys: []table.KeyDigest{table.DigestKey("k")}, Rank: &rank}}
	in.Limits, in.Evacuated, in.EvacuatedVersion = table.CallerLimits{HeaderBytes: 7}, []string{"a"}, 9
	data, _, err := table.EncodeTransfer(in)
	g.Expect(err).NotTo(HaveOccurred())
	out, err := table.DecodeTransfer(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reflect.DeepEqual(out, in)).To(BeTrue())
	small := tablesOfRoutes(20)
	row, err := table.Encode(small)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(table.DecodeTransfer(row)).To(Equal(small), "the form of older hosts")
	data, _, err = table.EncodeTransfer(small)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(table.Decode(data)).To(Equal(small), "as older hosts decode")
}

// Guards against a host that runs out of memory by a message that unpacks to gigabytes.
func TestTransferFormIsBounded(t *testing.T) {
	g := NewWithT(t)
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	_, _ = z.Write([]byte(`{"evacuated":["`))
	_, _ = z.Write(bytes.Repeat([]byte("a"), table.MaxTransferBytes))
	g.Expect(z.Close()).To(Succeed())
	_, err := table.DecodeTransfer(b.Bytes())
	g.Expect(err).To(MatchError(table.ErrTooLarge))
}
