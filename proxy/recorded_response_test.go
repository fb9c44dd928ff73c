package proxy

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/lb"
)

// Guards against a record of the ledger, kept by an older version or damaged, that
// reaches the caller of a repeated order as a response although it is none.
func TestRecordedResponseThatIsNoneIsNotReplayed(t *testing.T) {
	for name, recorded := range map[string]lb.RecordedResponse{
		"status 0":            {Body: []byte("fake")},
		"status 100":          {Status: 100, Body: []byte("fake")},
		"status 700":          {Status: 700, Body: []byte("fake")},
		"blank in a name":     {Status: 200, Header: [][2]string{{"X A", "1"}}, Body: []byte("fake")},
		"NUL in a value":      {Status: 200, Header: [][2]string{{"X-A", "\x00"}}, Body: []byte("fake")},
		"line end in a value": {Status: 200, Header: [][2]string{{"X-A", "1\r\nX-B: 2"}}, Body: []byte("fake")},
		"length":              {Status: 200, Header: [][2]string{{"Content-Length", "1"}}, Body: []byte("fake")},
	} {
		t.Run(name, func(t *testing.T) {
			s := startSpoiledTest(t, soundResponse)
			s.ledger.claim = lb.Claim{State: lb.ClaimDone, Response: &recorded}
			resp, body, err := s.tryAsk(keyedOrder)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusConflict))
			Expect(resp.Header.Get("Chestnut-Outcome")).To(Equal("ran"))
			Expect(body).NotTo(ContainSubstring("fake"))
			Expect(s.rejected()).To(BeEquivalentTo(1))
			Expect(s.logs.All()[0].ContextMap()).To(HaveKeyWithValue("source", "recorded"))
		})
	}
}
