package admin

import "github.com/valyala/fasthttp"

// HTTPLogger returns the logger of the HTTP library, to which it reports
// requests that it could not serve.
func (s *Server) HTTPLogger() fasthttp.Logger { return s.http.Logger }
