package http1

import "net/http"

// CheckRecorded decides whether a stored response may be sent: its status is that of a
// final response and its header lines are valid and don't delimit the body, which is
// stored whole. The error is an *Error.
func CheckRecorded(status int, header [][2]string) error {
	if status < http.StatusOK || status > maxStatus {
		return malformed(Status, "stored status %d is not from 200 to 599", status)
	}
	for _, line := range header {
		name, value := []byte(line[0]), []byte(line[1])
		if err := checkField(name, value); err != nil {
			return err
		}
		if isName(name, "content-length") || isName(name, "transfer-encoding") {
			return malformed(Framing, "%s in a stored response", name)
		}
	}
	return nil
}
