package upstream

import "time"

const (
	// quietPeriod is the time after a response in which a target that sends
	// unasked usually does so.
	quietPeriod = 10 * time.Millisecond
	// distrustPeriod is the time for which each connection of a target that sent
	// unasked serves one request.
	distrustPeriod = time.Minute
	// earlyClose is the idle time up to which a target that closes a connection
	// without notice is one that closes connections shortly after a response.
	earlyClose = time.Second
)

// trust decides how soon connections of one target are reused for idempotent requests;
// others get new ones. Where responses
// don't name their request, a late second copy of a response looks like the
// response to the next request on its connection. So a connection is reused only
// after it was silent for quietPeriod, until the target has shown a few times that
// it is; once it sent unasked, its connections are not reused for a while. It does
// no I/O and reads no clock.
type trust struct {
	// quiet counts the connections that were silent for quietPeriod.
	quiet           int
	distrustedUntil time.Time
}

// mayReuse reports whether a connection may be reused after an idle time.
func (t *trust) mayReuse(now time.Time, idle time.Duration, quietReuses int) bool {
	return !now.Before(t.distrustedUntil) && (idle >= quietPeriod || t.quiet >= quietReuses)
}

// recordClose records that the target closed an idle connection without notice: a
// request that is written at that moment is lost and has to be sent again.
func (t *trust) recordClose() { t.quiet = 0 }

// distrust records that the target sent bytes that no request asked for.
func (t *trust) distrust(now time.Time) {
	t.quiet, t.distrustedUntil = 0, now.Add(distrustPeriod)
}
