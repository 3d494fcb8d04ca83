package faker

import (
	"sync"
	"time"
)

// Faults configures the faults that a Server injects. The zero value injects none.
type Faults struct {
	// Down makes the server refuse every request. None takes effect.
	Down bool `json:"down"`
	// DelayMS is the delay of each request before it takes effect.
	DelayMS int64 `json:"delay_ms"`
	// LoseReplies is the number of further transactions that take effect but whose
	// reply is lost.
	LoseReplies int `json:"lose_replies"`
}

// faultState holds the current faults.
type faultState struct {
	mu     sync.Mutex
	faults Faults
}

func (s *faultState) replace(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *faultState) current() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// delay returns the delay of a request.
func (s *faultState) delay() time.Duration {
	return time.Duration(s.current().DelayMS) * time.Millisecond
}

// loseNextReply reports whether the reply to a write is to be lost, and counts it.
func (s *faultState) loseNextReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseReplies <= 0 {
		return false
	}
	s.faults.LoseReplies--
	return true
}
