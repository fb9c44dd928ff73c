package logging

// Quiet drops the lines of an HTTP server about single connections; it
// implements fasthttp.Logger.
type Quiet struct{}

// Printf drops a line.
func (Quiet) Printf(string, ...any) {}
