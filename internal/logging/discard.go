package logging

// Discard is a fasthttp.Logger that drops all lines. An HTTP server with it
// logs nothing about single connections.
type Discard struct{}

// Printf implements fasthttp.Logger.
func (Discard) Printf(string, ...any) {}
