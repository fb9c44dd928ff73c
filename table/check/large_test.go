package check_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/table/check"
)

// Guards against a check that refuses a configuration for a size that hosts accept.
func TestCheckAcceptsAsManyRoutesAsHosts(t *testing.T) {
	g := NewWithT(t)
	data, err := json.Marshal(map[string]any{
		"version": 1, "services": []map[string]any{{"name": "a"}},
		"routes": lo.Times(20_000, func(i int) map[string]any {
			name := fmt.Sprintf("%016x%016x", xxhash.Sum64String(fmt.Sprint(i)), xxhash.Sum64String(fmt.Sprint("p", i)))
			return map[string]any{"name": name, "prefix": "/" + name + "/", "host": "h", "service": "a", "kind": "idempotent", "timeoutS": 1}
		}),
	})
	g.Expect(err).NotTo(HaveOccurred())
	c, found, err := check.Check([]check.File{{Name: "op.json", Data: data}}, platformForm)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c).NotTo(BeNil(), "%v", found)
}
