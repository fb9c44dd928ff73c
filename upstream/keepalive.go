package upstream

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// keepAliveMargin is subtracted from the time that a target keeps an idle
// connection open, because the target could close it while a request sent
// shortly before that time is on its way.
const keepAliveMargin = time.Second

// keepAlive reads from the Keep-Alive header how long the target keeps an
// idle connection open, and subtracts keepAliveMargin.
func keepAlive(h *fasthttp.ResponseHeader) (limit time.Duration, ok bool) {
	for name, value := range h.All() {
		if !strings.EqualFold(string(name), fasthttp.HeaderKeepAlive) {
			continue
		}
		for parameter := range strings.SplitSeq(string(value), ",") {
			key, text, _ := strings.Cut(strings.TrimSpace(parameter), "=")
			seconds, err := strconv.ParseUint(text, 10, 31)
			if strings.EqualFold(key, "timeout") && err == nil {
				return max(time.Duration(seconds)*time.Second-keepAliveMargin, 1), true
			}
		}
	}
	return 0, false
}

// idleLimitExceeded reports whether the target may close the connection at
// any moment.
func (cn *conn) idleLimitExceeded(idle time.Duration) bool {
	return cn.idleLimit > 0 && idle > cn.idleLimit
}
