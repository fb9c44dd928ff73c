package dynamo_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/cloud/dynamo"
)

// Guards against a table service, or what answers in its place, that sends bytes without
// end until the host runs out of memory.
func TestReadingOfAnEndlessResponseEnds(t *testing.T) {
	for name, status := range map[string]int{"row": http.StatusOK, "error": http.StatusBadRequest} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/x-amz-json-1.0")
				w.WriteHeader(status)
				_, err := w.Write([]byte(`{"Item":{"pk":{"S":"`))
				for block := []byte(strings.Repeat("A", 64<<10)); err == nil; {
					_, err = w.Write(block)
				}
			}))
			defer s.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, _, err := dynamo.New(dynamo.Options{Endpoint: s.URL}).Get(context.Background(), cloud.Key{Partition: "p", Sort: "s"})
			runtime.ReadMemStats(&after)
			g.Expect(err).To(HaveOccurred())
			g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 256<<20))
		})
	}
}
