package transport

import (
	"net"

	"mallowlatch.example/mallowlatch/internal/event"
)

func (s *Server) isStopping() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stopping
}

// track registers an accepted connection. If it returns false, the connection must be closed.
func (s *Server) track(connection net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopping {
		return false
	}
	if len(s.open) >= s.options.MaxConnections {
		event.TransportConnectionLimit.Log(s.options.Logger).Int("limit", s.options.MaxConnections).Send()
		return false
	}
	s.open[connection] = struct{}{}
	s.options.Metrics.connections.WithLabelValues(sideServer).Inc()
	return true
}

func (s *Server) untrack(connection net.Conn) {
	_ = connection.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.open, connection)
	s.options.Metrics.connections.WithLabelValues(sideServer).Dec()
}

// beginCall counts a running call. It returns false if the server is stopping and the call must not run. The check and the
// count are atomic, so Stop waits for every call that was accepted.
func (s *Server) beginCall() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopping {
		return false
	}
	s.running++
	return true
}

func (s *Server) endCall() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
	if s.stopping && s.running == 0 {
		close(s.idle)
	}
}

func (s *Server) beginStop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopping {
		return
	}
	s.stopping = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	if s.running == 0 {
		close(s.idle)
	}
}

// closeAll closes the accepted connections and reports whether Serve was ever called.
func (s *Server) closeAll() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for connection := range s.open {
		_ = connection.Close()
	}
	return s.listener != nil
}
