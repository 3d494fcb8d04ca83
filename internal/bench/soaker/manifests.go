package soaker

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/dandeliongrade/dandeliongrade/platform/standin"
)

// manifests is what the operator has put in force. Each version has a queue of its own, so
// that a caller sees which one a gateway follows.
type manifests struct {
	mu      sync.Mutex
	version int
}

func versionPath(version int) string {
	return fmt.Sprintf("/version-%d/", version)
}

// putManifest puts the next version in the store.
func (s *soak) putManifest() {
	s.manifests.mu.Lock()
	defer s.manifests.mu.Unlock()
	s.manifests.version++
	s.store.PutManifest(s.manifests.version, standin.Prefix, versionPath(s.manifests.version))
}

func (s *soak) newestVersion() int {
	s.manifests.mu.Lock()
	defer s.manifests.mu.Unlock()
	return s.manifests.version
}

// follows reports whether a gateway serves the queue of a version, and whether it answers.
func (s *soak) follows(ctx context.Context, gateway string, version int) (follows, answers bool) {
	status, _, err := s.callers.Call(ctx, http.MethodGet, s.forwarders["callers_of_"+gateway].to, versionPath(version), nil)
	return status == http.StatusOK, err == nil && (status == http.StatusOK || status == http.StatusNotFound)
}

// watchManifest looks whether a gateway goes back to an older version in one life, until
// ctx ends.
func (s *soak) watchManifest(ctx context.Context, gateway string) {
	p := s.processes[gateway]
	seen, seenIn := 0, 0
	for ctx.Err() == nil {
		life, version := p.incarnation(), s.newestVersion()
		follows, answers := s.follows(ctx, gateway, version)
		if answers && life == p.incarnation() && version == s.newestVersion() {
			switch {
			case follows:
				seen, seenIn = version, life
			case seen == version && seenIn == life:
				s.addBreach(ManifestRollback, "%s followed version %d and does not any more", gateway, version)
			}
		}
		sleep(ctx, watchInterval)
	}
}

// checkManifests demands that every gateway follows the newest version.
func (s *soak) checkManifests(ctx context.Context) {
	for _, g := range s.settings.Size.gateways() {
		if follows, _ := s.follows(ctx, g, s.newestVersion()); !follows && ctx.Err() == nil {
			s.addBreach(StaleManifest, "%s does not follow version %d after %s of calm", g, s.newestVersion(), recoveryLimit)
		}
	}
}
