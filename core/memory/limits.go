package memory

// Machine is what a process may use.
type Machine struct {
	// Bytes is the memory, Descriptors the number of files and connections that may be open.
	Bytes       int64
	Descriptors int
}

// Limits divides the memory and the descriptors of a machine.
type Limits struct {
	// Held and Reserve are the limits of a Budget.
	Held, Reserve int64
	// Messages bounds the parts of messages from other routers that are arriving, beyond the
	// first SmallBytes of each.
	Messages int64
	// Runtime is the memory that the language's runtime keeps to, as far as it can.
	Runtime int64
	// Callers and Detours are the numbers of connections of callers and of other routers'
	// requests.
	Callers, Detours int
	// Peers is the number of connections that other routers may open to send messages.
	Peers int
	// SocketBuffer is the size of the kernel's buffers of a connection, one for each direction;
	// zero leaves it to the kernel.
	SocketBuffer int
}

const (
	// programBytes is what the program itself takes: its code, tables and threads.
	programBytes = 40 << 20
	// minHeldBytes is one body of 4 MiB, the largest that operators permit, and its copy in one
	// piece, which the program camphorpulley needs: a machine serves it however small it is.
	minHeldBytes = 9 << 20
	// heldShare and reserveShare are the parts of the memory beyond the program's that may be
	// held: the rest is for the kernel's buffers of connections, for copies and for garbage.
	heldShare    = 4
	reserveShare = 16
	// messagesShare is the part for messages that arrive from other routers. They get 9 MiB at
	// least: one of 4 MiB, the largest, and its copy in one piece.
	messagesShare = 8
	// runtimeShare is the part of the memory that the runtime keeps to. The kernel's buffers and
	// the code have the rest. With three fifths, a machine of 184 MB had 124 MB resident with 400
	// callers that read no stream.
	runtimeShare = 2
	// connectionBytes is what a connection takes: two buffers, a stack, and the fields of a
	// request.
	connectionBytes = 128 << 10
	// maxReservedDescriptors are left for other routers, a connection in each direction for each
	// of up to 388, the store, readiness and metrics; on small machines a part of
	// 1 / reservedShare.
	maxReservedDescriptors = 1024
	reservedShare          = 4
	// Of the reserved ones, routers that open connections to this one get 1 / peersShare: the
	// same number is for the connections to them. minPeers is the least number, so that small
	// fleets on small machines aren't bounded.
	peersShare = 2
	minPeers   = 64
	// Of the other descriptors, callers get two fifths and detours a tenth; the same number is
	// for the connections to upstreams that their requests need.
	callersNumerator, callersDenominator = 2, 5
	detoursDenominator                   = 10
	// minConnections is the least number of connections.
	minConnections = 8
	// minSocketBuffer is enough for 10 Mbit/s at a round trip of 50 ms.
	minSocketBuffer = 64 << 10
	// freeSocketBuffer is the size above which the kernel chooses.
	freeSocketBuffer = 256 << 10
)

// ForMessages returns the limits of the Budget for messages from other routers. It has a reserve
// of its own, so that callers' bodies and messages don't make each other go.
func (l Limits) ForMessages() Limits { return Limits{Held: l.Messages, Reserve: l.Reserve} }

// Divide returns the limits for a machine. Unknown sizes, which are zero, set no limit.
func Divide(m Machine) Limits {
	var l Limits
	if m.Bytes > 0 {
		free := max(m.Bytes-programBytes, 0)
		l.Held = max(free/heldShare, minHeldBytes)
		l.Reserve = max(free/reserveShare, minHeldBytes/reserveShare)
		l.Messages = max(free/messagesShare, minHeldBytes)
		l.Runtime = m.Bytes / runtimeShare
	}
	if m.Descriptors > 0 {
		reserved := min(maxReservedDescriptors, m.Descriptors/reservedShare)
		free := m.Descriptors - reserved
		l.Peers = max(reserved/peersShare, minPeers)
		l.Callers = max(free*callersNumerator/callersDenominator, minConnections)
		l.Detours = max(free/detoursDenominator, minConnections)
	}
	if m.Bytes > 0 && l.Callers > 0 {
		l.Callers = int(min(int64(l.Callers), max(m.Bytes/connectionBytes, minConnections)))
		if perConnection := m.Bytes / heldShare / int64(l.Callers); perConnection < freeSocketBuffer {
			l.SocketBuffer = int(max(perConnection, minSocketBuffer))
		}
	}
	return l
}
