package membership

import "sync"

// subscribers are told of changes without waiting for them.
type subscribers struct {
	mu       sync.Mutex
	channels []chan struct{}
}

func (s *subscribers) add() (<-chan struct{}, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	channel := make(chan struct{}, 1)
	s.channels = append(s.channels, channel)
	return channel, func() { s.remove(channel) }
}

func (s *subscribers) remove(channel chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range s.channels {
		if c == channel {
			s.channels = append(s.channels[:i], s.channels[i+1:]...)
			return
		}
	}
}

func (s *subscribers) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.channels {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
