package dynamo_test

import (
	"context"
	"encoding/base64"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/cloud/dynamo"
	"github.com/chestnutfield/chestnutfield/lab/platformd"
	"github.com/chestnutfield/chestnutfield/membership"
)

// Guards against an odd row that makes all rows of its partition unreadable, so that
// hosts learn of no other host.
func TestOddRowLeavesThePartitionReadable(t *testing.T) {
	member := func(sort, attributes string) string {
		body := fmt.Sprintf(`{"name":%q,"addr":"127.0.0.1:7003","failure_domain":"a","incarnation":1,"heartbeat":1,"state":1}`, sort)
		return fmt.Sprintf(`{"pk":{"S":"members"},"sk":{"S":%q},"body":{"B":%q},%s}`, sort, base64Text(body), attributes)
	}
	good := `"rev":{"N":"1"},"writer":{"S":"w"}`
	for _, odd := range []string{
		`"writer":{"S":"w"}`, `"rev":{"N":"1"}`, `"rev":{"S":"1"},"writer":{"S":"w"}`, `"rev":{"N":"1e400"},"writer":{"S":"w"}`, `"rev":{"N":"-1"},"writer":{"S":"w"}`,
		`"rev":{"N":"0.5"},"writer":{"S":"w"}`, `"rev":{"N":"18446744073709551616"},"writer":{"S":"w"}`, `"rev":{"N":"1"},"writer":{"N":"7"}`,
		good + `,"ttl":{"S":"soon"}`, good + `,"ttl":{"N":"-1"}`, good + `,"ttl":{"N":"1e30"}`, `"rev":{"NULL":true},"writer":{"L":[]}`,
	} {
		t.Run(odd, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "application/x-amz-json-1.0")
				if r.Header.Get("X-Amz-Target") == "DynamoDB_20120810.Query" {
					fmt.Fprintf(w, `{"Items":[%s,%s,%s],"Count":3}`, member("a", good), member("b", odd), member("c", good))
					return
				}
				fmt.Fprintf(w, `{"Item":%s}`, member("b", odd))
			}))
			defer server.Close()
			table := dynamo.New(dynamo.Options{Endpoint: server.URL})
			rows, err := table.Query(context.Background(), "members", "", 10)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(rows).To(HaveLen(3))
			g.Expect(rows[1]).To(Equal(cloud.Row{Key: cloud.Key{Partition: "members", Sort: "b"}}))
			_, _, err = table.Get(context.Background(), rows[1].Key)
			g.Expect(err).To(HaveOccurred(), "a row that is read alone is not taken for another version")

			s, err := membership.New(membership.Options{Self: membership.Member{Name: "self", Addr: addr, State: membership.Live}, Table: table, Clock: clockwork.NewRealClock()})
			g.Expect(err).NotTo(HaveOccurred())
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() { _ = s.Run(ctx) }()
			g.Eventually(s.LiveHosts).WithTimeout(30 * time.Second).Should(Equal([]string{"a", "c", "self"}))
		})
	}
}

// Guards against a host that never renews its row, and so never holds its lease, because
// another writer left an odd row under its name.
func TestHostReplacesAnOddRowUnderItsName(t *testing.T) {
	g := NewWithT(t)
	platform := platformd.New(platformd.Options{})
	g.Expect(platform.Start("127.0.0.1:0")).To(Succeed())
	defer platform.Close()
	body := `{"TableName":"chestnutfield","Item":{"pk":{"S":"members"},"sk":{"S":"self"},"rev":{"S":"odd"}}}`
	put, err := http.NewRequest(http.MethodPost, platform.URL(), strings.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	put.Header.Set("X-Amz-Target", "DynamoDB_20120810.PutItem")
	put.Header.Set("Content-Type", "application/x-amz-json-1.0")
	response, err := http.DefaultClient.Do(put)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Body.Close()).To(Succeed())
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))

	table := dynamo.New(dynamo.Options{Endpoint: platform.URL()})
	own := cloud.Key{Partition: "members", Sort: "self"}
	_, _, err = table.Get(t.Context(), own)
	g.Expect(err).To(HaveOccurred())
	s, err := membership.New(membership.Options{Self: membership.Member{Name: "self", Addr: addr, State: membership.Live}, Table: table})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = s.Run(ctx) }()
	g.Eventually(func() error { _, _, err := table.Get(ctx, own); return err }).WithTimeout(10 * time.Second).Should(Succeed())
}

var addr = netip.MustParseAddrPort("127.0.0.1:7004")

func base64Text(text string) string { return base64.StdEncoding.EncodeToString([]byte(text)) }
