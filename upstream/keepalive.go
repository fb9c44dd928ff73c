package upstream

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// keepAliveMargin is taken from the time that a target keeps an idle
// connection: a request sent near its end would meet the close on its way.
const keepAliveMargin = time.Second

// keepAlive reads how long a target keeps an idle connection open.
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

// expired says that the target may close the connection at any moment.
func (cn *conn) expired(idle time.Duration) bool { return cn.keepFor > 0 && idle > cn.keepFor }
