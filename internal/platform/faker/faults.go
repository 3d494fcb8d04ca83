package faker

import (
	"sync"
	"time"
)

// Faults says how the stand-in fails. The zero value is a healthy service.
type Faults struct {
	// Down refuses every request before it takes effect.
	Down bool `json:"down"`
	// DelayMS is added before each request takes effect, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// LoseReplies is for how many more writes the reply is lost after the write
	// took effect.
	LoseReplies int `json:"lose_replies"`
}

// switchboard holds the faults in force.
type switchboard struct {
	mu     sync.Mutex
	faults Faults
}

func (s *switchboard) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *switchboard) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *switchboard) delay() time.Duration {
	return time.Duration(s.get().DelayMS) * time.Millisecond
}

// loseReply reports whether the reply to this write is to be lost.
func (s *switchboard) loseReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseReplies <= 0 {
		return false
	}
	s.faults.LoseReplies--
	return true
}
