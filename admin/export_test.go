package admin

import "github.com/valyala/fasthttp"

// HTTPLogger is where the HTTP library writes what it could not serve.
func (s *Server) HTTPLogger() fasthttp.Logger { return s.http.Logger }
