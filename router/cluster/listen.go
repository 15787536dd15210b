package cluster

import (
	"net/http"

	"camphorpulley.org/base/listener"
	"camphorpulley.org/base/wrap"
	"camphorpulley.org/router/gateway"
)

// maxOperatorConns bounds the connections for readiness, and those for metrics: few clients ask
// for either.
const maxOperatorConns = 64

// listenAndServe serves h on a TCP address until the process ends, for the load balancer or for
// operators. Requests have no bodies.
func listenAndServe(address string, h http.Handler) error {
	s := &http.Server{
		Addr: address, Handler: gateway.MarkBusy(h), ReadTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	ln, err := listener.ListenBuffered(s.Addr, 0)
	if err != nil {
		return wrap.Err(err, s.Addr)
	}
	return s.Serve(gateway.WatchCallers(s, ln, listener.NewBound(maxOperatorConns)))
}

// serveCallers serves on the server's address until the listener fails or the server is shut
// down. The context of a request ends when its caller leaves.
// Bound bounds the connections, and bufferBytes is the size of the kernel's buffers of each; zero
// leaves it to the kernel.
func serveCallers(s *http.Server, bound *listener.Bound, bufferBytes int) error {
	ln, err := listener.ListenBuffered(s.Addr, bufferBytes)
	if err != nil {
		return wrap.Err(err, s.Addr)
	}
	return s.Serve(gateway.WatchCallers(s, ln, bound))
}
