package connlimit

import "syscall"

// Machine is what a process may use.
type Machine struct {
	MemoryMB    int // 0: unlimited
	Descriptors int // open ones; 0: as many as the system allows the process
}

const (
	// clientMemoryShare and peerMemoryShare are the shares of the memory that unfinished
	// requests may take. What is dead and not collected yet takes about as much again.
	clientMemoryShare, peerMemoryShare = 0.25, 0.05
	// responseMemoryShare is the share of the memory for answers that wait for their clients.
	responseMemoryShare = 0.3
	// connMemoryShare is the share of the memory for connections, each of which takes connKB
	// with its buffers and its goroutine.
	connMemoryShare, connKB = 0.2, 32
	// descriptorShare is the share of the descriptors for clients, and for peers. The rest is for
	// upstreams, the store and files.
	descriptorShare = 0.4
	// minClientBytes holds the largest usual body, and the next one; minPeerBytes the usual messages of
	// some hosts.
	minClientBytes, minPeerBytes = 8 << 20, 2 << 20
	// minResponseBytes holds some of the largest answers that are held whole.
	minResponseBytes = 4 << 20
	// minConns is the number of connections that any machine takes.
	minConns = 16
)

const (
	// heapShare is the share of the memory that the Go runtime aims at, and reserveMB what is left
	// to it at least. It does not count the program itself, socket buffers and stacks in use.
	heapShare, reserveMB = 0.6, 32
	// minHeapShare is left to the heap on the smallest machines.
	minHeapShare = 0.4
)

// HeapLimit returns the memory in bytes that the Go runtime should aim at on a machine.
func HeapLimit(memoryMB int) int64 {
	memory := float64(memoryMB)
	limit := max(min(memory*heapShare, memory-reserveMB), memory*minHeapShare)
	return int64(limit * (1 << 20))
}

// ForClients returns the bounds for the listeners of clients.
func (m Machine) ForClients() Config { return m.config(clientMemoryShare, minClientBytes) }

// ForPeers returns the bounds for the listener of the deployment's own hosts.
func (m Machine) ForPeers() Config { return m.config(peerMemoryShare, minPeerBytes) }

// ForResponses returns how many bytes answers may take that wait for their clients to read them;
// 0: any number.
func (m Machine) ForResponses() int64 {
	if m.MemoryMB == 0 {
		return 0
	}
	return max(int64(float64(m.MemoryMB)*(1<<20)*responseMemoryShare), minResponseBytes)
}

func (m Machine) config(memoryShare float64, minBytes int64) Config {
	if m.MemoryMB == 0 {
		return Config{}
	}
	memory := float64(m.MemoryMB) * (1 << 20)
	conns := memory * connMemoryShare / (connKB << 10)
	if d := m.descriptors(); d > 0 {
		conns = min(conns, float64(d)*descriptorShare)
	}
	return Config{MaxConns: max(int(conns), minConns), MaxBytes: max(int64(memory*memoryShare), minBytes)}
}

// descriptors returns how many descriptors the process may have open; 0: that is not known.
func (m Machine) descriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return m.Descriptors
	}
	allowed := int(min(limit.Cur, 1<<30))
	if m.Descriptors > 0 {
		return min(allowed, m.Descriptors)
	}
	return allowed
}
