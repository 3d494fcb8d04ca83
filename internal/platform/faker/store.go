// Package faker is a stand-in for the platform's table service and object store, for
// tests and trials. It keeps everything in memory, and injects faults on request: it can be
// down, be slow, or lose replies to writes that took effect.
package faker

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"github.com/dandeliongrade/dandeliongrade/internal/platform/storer"
)

// Store holds the contents of the table service and the object store. It is safe for
// concurrent use. The zero value is empty.
type Store struct {
	mu      sync.Mutex
	records map[string]storer.Record
	objects map[string]json.RawMessage
	reads   uint64
	writes  uint64
}

// Get returns one record, or storer.ErrNotFound.
func (s *Store) Get(key string) (storer.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	r, ok := s.records[key]
	if !ok {
		return storer.Record{}, storer.ErrNotFound
	}
	return r, nil
}

// Scan returns the records whose keys have a prefix, sorted by key.
func (s *Store) Scan(prefix string) []storer.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	found := []storer.Record{}
	for key, r := range s.records {
		if strings.HasPrefix(key, prefix) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b storer.Record) int { return strings.Compare(a.Key, b.Key) })
	return found
}

// Transact applies t as a whole, or returns storer.ErrConflict and changes nothing.
func (s *Store) Transact(t storer.Transaction) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range t.Writes {
		if s.records[w.Key].Version != w.Expect {
			return storer.ErrConflict
		}
	}
	if s.records == nil {
		s.records = make(map[string]storer.Record)
	}
	s.writes += uint64(len(t.Writes))
	for _, w := range t.Writes {
		if w.Value == nil {
			delete(s.records, w.Key)
			continue
		}
		s.records[w.Key] = storer.Record{Key: w.Key, Value: w.Value, Version: w.Expect + 1, Token: t.Token}
	}
	return nil
}

// PutObject stores an object.
func (s *Store) PutObject(name string, value json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects == nil {
		s.objects = make(map[string]json.RawMessage)
	}
	s.objects[name] = value
}

// GetObject returns an object, or storer.ErrNotFound.
func (s *Store) GetObject(name string) (json.RawMessage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.objects[name]
	if !ok {
		return nil, storer.ErrNotFound
	}
	return value, nil
}

// Traffic returns how many reads of the table and writes of records have been served.
func (s *Store) Traffic() (reads, writes uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}
