package cloud

import (
	"net"

	"github.com/pkg/errors"
)

// IsDialError reports whether err is a dial error, in which case no byte of the
// request can have reached the service.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
