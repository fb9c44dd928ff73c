package upstream

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
)

func TestKeepAliveHeader(t *testing.T) {
	g := NewWithT(t)
	read := func(name, value string) (time.Duration, bool) {
		var h fasthttp.ResponseHeader
		h.DisableNormalizing()
		if name != "" {
			h.Set(name, value)
		}
		return keepAlive(&h)
	}
	limit, ok := read("Keep-Alive", "timeout=10, max=5")
	g.Expect(ok).To(BeTrue())
	g.Expect(limit).To(Equal(10*time.Second - keepAliveMargin))
	limit, ok = read("keep-alive", "timeout=1")
	g.Expect(ok).To(BeTrue())
	g.Expect(limit).To(BeNumerically(">", 0))
	for _, value := range []string{"timeout=soon", "timeout=", "max=5", "timeout=-1"} {
		_, ok = read("Keep-Alive", value)
		g.Expect(ok).To(BeFalse(), value)
	}
	_, ok = read("", "")
	g.Expect(ok).To(BeFalse())
	cn := &conn{idleLimit: time.Second}
	g.Expect(cn.idleLimitExceeded(999 * time.Millisecond)).To(BeFalse())
	g.Expect(cn.idleLimitExceeded(1001 * time.Millisecond)).To(BeTrue())
	g.Expect((&conn{}).idleLimitExceeded(time.Hour)).To(BeFalse())
}
