package listener

import "net"

// Counting is a listener whose connections count for a bound.
type Counting struct {
	net.Listener
	// Bound may be nil, which has no bound.
	Bound *Bound
}

// Accept implements net.Listener. The connection is a *Counted.
func (l Counting) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Counted{Conn: c, Entry: l.Bound.Add(c)}, nil
}

// Counted is a connection that counts until its Close.
type Counted struct {
	net.Conn
	Entry *Entry
}

// Close implements net.Conn and ends the count.
func (c *Counted) Close() error {
	c.Entry.Remove()
	return c.Conn.Close()
}
