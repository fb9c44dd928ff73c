package outcome

import "net/http"

// PromisesNotRun reports whether callers take a status for the promise that the request
// has not run and never will: 408, 421, 429 and 503.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Status returns the status of a response that the host makes to a request with the
// outcome: the given one, or one that promises nothing in place of a promise that is not
// known to be true.
func (o Outcome) Status(status int) int {
	switch {
	case o == NotRun || !PromisesNotRun(status):
		return status
	case status == http.StatusRequestTimeout:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}
