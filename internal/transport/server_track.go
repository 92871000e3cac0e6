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

// track counts an accepted connection in; false means it must be closed.
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

// begin counts a call in; false means that the server stops and the call must not run. The check and the count are
// one step, so Stop never misses a call that was let in.
func (s *Server) begin() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopping {
		return false
	}
	s.running++
	return true
}

func (s *Server) end() {
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

// closeAll closes the accepted connections and says whether the server was ever serving.
func (s *Server) closeAll() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for connection := range s.open {
		_ = connection.Close()
	}
	return s.listener != nil
}
