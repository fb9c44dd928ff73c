package cloud

import (
	"net"

	"github.com/pkg/errors"
)

// NeverSent is true for an error of opening a connection: no byte of the
// request can have reached the service.
func NeverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
