package hostlist_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/cloud/hostlist"
)

// Guards against an odd entry of the list that hides all others, so that targets neither
// join nor leave until it is gone, or that is taken for a target.
func TestOddEntryLeavesTheOthersListed(t *testing.T) {
	entry := func(addr string) string {
		return fmt.Sprintf(`{"service":"s","addr":%s,"failure_domain":"a","leaving":false}`, addr)
	}
	odd := map[string]string{
		"no object": `7`, "null": `null`, "empty": `{}`, "nested": strings.Repeat("[", 9000) + strings.Repeat("]", 9000),
		"nested deep":     strings.Repeat("[{\"a]\":", 200_000) + `"}\""` + strings.Repeat("}]", 200_000),
		"other service":   `{"service":"t","addr":"127.0.0.1:3"}`,
		"service missing": `{"addr":"127.0.0.1:3"}`,
		"service number":  `{"service":7,"addr":"127.0.0.1:3"}`,
		"long domain":     `{"service":"s","addr":"127.0.0.1:3","failure_domain":"` + strings.Repeat("x", 60_000) + `"}`,
		"odd domain":      `{"service":"s","addr":"127.0.0.1:3","failure_domain":"a\nb"}`,
		"leaving text":    `{"service":"s","addr":"127.0.0.1:3","leaving":"no"}`,
	}
	for _, addr := range []string{
		`""`, `7`, `"nowhere:80"`, `"127.0.0.1:0"`, `"127.0.0.1:99999"`, `"0.0.0.0:80"`, `"[::]:80"`, `"224.0.0.1:80"`, `"[fe80::1%eth0]:80"`,
	} {
		odd["address "+addr] = entry(addr)
	}
	for name, text := range odd {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprintf(w, "[%s,%s,%s]", entry(`"127.0.0.1:1"`), text, entry(`"127.0.0.1:2"`))
			}))
			defer server.Close()
			listed, err := hostlist.New(hostlist.Options{BaseURL: server.URL}).List(context.Background(), "s")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(lo.Map(listed, func(h cloud.ListedHost, _ int) uint16 { return h.Addr.Port() })).To(Equal([]uint16{1, 2}))
		})
	}
}

// FuzzList checks that no list makes a host crash, and that a list without odd entries
// is read as encoding/json reads it.
func FuzzList(f *testing.F) {
	f.Add([]byte(`[{"service":"s","addr":"127.0.0.1:1"}, 7, null, {"a":"\"]"}, [{}]]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		hosts, problems, err := hostlist.Decode(body, "")
		var want []cloud.ListedHost
		if json.Unmarshal(body, &want) == nil && len(want) > 0 && err != nil {
			t.Errorf("got %v", err)
		}
		if err == nil && len(problems) == 0 && len(hosts) > 0 && (json.Unmarshal(body, &want) != nil || !slices.Equal(hosts, want)) {
			t.Errorf("got %v; expected %v", hosts, want)
		}
	})
}
