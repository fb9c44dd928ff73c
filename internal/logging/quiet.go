package logging

// Quiet is a fasthttp.Logger that drops all lines. An HTTP server with it logs
// nothing about single connections.
type Quiet struct{}

// Printf implements fasthttp.Logger.
func (Quiet) Printf(string, ...any) {}
