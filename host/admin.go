package host

import (
	"context"
	"net"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/do/v2"
)

// adminServer serves the operators' address.
type adminServer struct{ http *http.Server }

// Serve answers operators until Shutdown.
func (a adminServer) Serve(ln net.Listener) error { return a.http.Serve(ln) }

// Shutdown ends the server at once.
func (a adminServer) Shutdown(context.Context) error { return a.http.Close() }

// provideAdmin gives the operators' side.
func provideAdmin(i do.Injector) {
	do.Provide(i, func(i do.Injector) (adminServer, error) {
		registry := do.MustInvoke[*prometheus.Registry](i)
		mux := http.NewServeMux()
		mux.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
		return adminServer{&http.Server{Handler: mux}}, nil
	})
}
