package logging

// Discard is a fasthttp.Logger that drops all lines. Without it, an HTTP server
// logs the errors of single connections.
type Discard struct{}

// Printf implements fasthttp.Logger.
func (Discard) Printf(string, ...any) {}
