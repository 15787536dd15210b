package cluster

import (
	"net"
	"net/http"
	"time"

	"camphorpulley.org/base/listener"
	"camphorpulley.org/base/wrap"
	"camphorpulley.org/router/gateway"
)

const (
	// maxOperatorConns bounds the connections for readiness, and those for metrics: few clients
	// ask for either.
	maxOperatorConns = 64
	// operatorTimeout bounds a response, also for clients that don't read it.
	operatorTimeout = 30 * time.Second
)

// listenAndServe serves h on a TCP address until the process ends, for the load balancer or for
// operators.
func listenAndServe(address string, h http.Handler) error {
	ln, err := listener.ListenBuffered(address, 0)
	if err != nil {
		return wrap.Err(err, address)
	}
	return serveOperators(ln, h)
}

// serveOperators serves h on a listener until that fails. Requests have no bodies. Above
// maxOperatorConns, the connection that was opened or got its latest response the longest ago is
// closed, also while it has a request: clients that don't read must not keep others out.
func serveOperators(ln net.Listener, h http.Handler) error {
	s := &http.Server{
		Handler: h, ReadTimeout: headerTimeout, WriteTimeout: operatorTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
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
