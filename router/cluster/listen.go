package cluster

import (
	"net"
	"net/http"

	"camphorpulley.org/base/wrap"
	"camphorpulley.org/router/gateway"
)

// listenAndServe serves h on a TCP address until the process ends.
func listenAndServe(address string, h http.Handler) error {
	s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout}
	ln, err := listenTCP4(s)
	if err != nil {
		return err
	}
	return s.Serve(ln)
}

// serveCallers serves on the server's address until the listener fails or the server is shut
// down. The context of a request ends when its caller leaves.
func serveCallers(s *http.Server) error {
	ln, err := listenTCP4(s)
	if err != nil {
		return err
	}
	return s.Serve(gateway.WatchCallers(s, ln))
}

// listenTCP4 listens on the server's address, IPv4 only.
func listenTCP4(s *http.Server) (net.Listener, error) {
	ln, err := net.Listen("tcp4", s.Addr)
	return ln, wrap.Err(err, s.Addr)
}
