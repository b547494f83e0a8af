package main

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// relay passes connections on to a target. While it is losing, it drops what the target answers; the connections on which something
// was dropped stay open and silent, and are reset once the loss ends.
type relay struct {
	losing atomic.Bool

	mu     sync.Mutex
	broken []*net.TCPConn
}

func (r *relay) listen(ctx context.Context, target string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		<-ctx.Done()
		_ = listener.Close()
	}()
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go r.pass(accepted.(*net.TCPConn), target)
		}
	}()
	return listener.Addr().String(), nil
}

// pass passes one connection on.
func (r *relay) pass(client *net.TCPConn, target string) {
	server, err := net.Dial("tcp", target)
	if err != nil {
		reset(client)
		return
	}
	go func() {
		buffer := make([]byte, 1<<16)
		for {
			n, err := client.Read(buffer)
			if err != nil {
				_ = server.Close()
				return
			}
			if _, err := server.Write(buffer[:n]); err != nil {
				return
			}
		}
	}()
	buffer, dropped := make([]byte, 1<<16), false
	for {
		n, err := server.Read(buffer)
		switch {
		case err != nil && dropped:
			return
		case err != nil:
			_ = client.Close()
			return
		case r.losing.Load() || dropped:
			if !dropped {
				r.mu.Lock()
				r.broken = append(r.broken, client)
				r.mu.Unlock()
			}
			dropped = true
		default:
			if _, err := client.Write(buffer[:n]); err != nil {
				_ = server.Close()
				return
			}
		}
	}
}

// lose begins or ends the loss of answers.
func (r *relay) lose(on bool) {
	r.losing.Store(on)
	if on {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, client := range r.broken {
		reset(client)
	}
	r.broken = nil
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
