package table_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/table"
)

var _ = Describe("the encoded form", func() {
	It("is refused by Encode when Decode would refuse its size, however well it compresses", func() {
		t := table.Empty()
		caller := strings.Repeat("c", table.MaxNameBytes)
		for i := range 300 {
			name := fmt.Sprintf("route-%d", i)
			callers := make([]string, table.MaxListItems)
			for j := range callers {
				callers[j] = caller
			}
			t.Routes[name] = table.Route{Name: name, Callers: callers}
		}
		_, err := table.Encode(t)
		Expect(err).To(MatchError(ContainSubstring("at most 8388608 are read")))
	})

	It("is bounded in size by Decode, compressed and decompressed", func() {
		var b bytes.Buffer
		z := gzip.NewWriter(&b)
		_, _ = z.Write(bytes.Repeat([]byte(" "), table.MaxDecodedBytes+1))
		Expect(z.Close()).To(Succeed())
		_, err := table.Decode(b.Bytes())
		Expect(err).To(MatchError(ContainSubstring("exceed")))
		_, err = table.Decode(make([]byte, table.MaxEncodedBytes+1))
		Expect(err).To(MatchError(ContainSubstring("at most")))
	})
})
