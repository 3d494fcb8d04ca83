package soaker

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/dandeliongrade/dandeliongrade/platform/standin"
)

// manifests counts the versions of the manifest that the soak has published. Each version has
// a queue that no other version has, so that a request shows which version a gateway follows.
type manifests struct {
	mu      sync.Mutex
	version int
}

// versionPath returns the path of the queue that only this version has.
func versionPath(version int) string {
	return fmt.Sprintf("/version-%d/", version)
}

// putManifest publishes the next version in the store.
func (s *soak) putManifest() {
	s.manifests.mu.Lock()
	defer s.manifests.mu.Unlock()
	s.manifests.version++
	s.store.PutManifest(s.manifests.version, standin.Prefix, versionPath(s.manifests.version))
}

// newestVersion returns the last version that was published.
func (s *soak) newestVersion() int {
	s.manifests.mu.Lock()
	defer s.manifests.mu.Unlock()
	return s.manifests.version
}

// follows reports whether a gateway serves the queue of a version. Without a conclusive answer
// answers is false. The request bypasses the forwarder.
func (s *soak) follows(ctx context.Context, gateway string, version int) (follows, answers bool) {
	status, _, err := s.callers.Call(ctx, http.MethodGet, s.forwarders["callers_of_"+gateway].to, versionPath(version), nil)
	return status == http.StatusOK, err == nil && (status == http.StatusOK || status == http.StatusNotFound)
}

// watchManifest checks until ctx ends that a gateway does not return to an older version of
// the manifest within one incarnation.
func (s *soak) watchManifest(ctx context.Context, gateway string) {
	p := s.processes[gateway]
	seen, seenBy := 0, 0
	for ctx.Err() == nil {
		incarnation, version := p.incarnation(), s.newestVersion()
		follows, answers := s.follows(ctx, gateway, version)
		if answers && incarnation == p.incarnation() && version == s.newestVersion() {
			switch {
			case follows:
				seen, seenBy = version, incarnation
			case seen == version && seenBy == incarnation:
				s.addViolation(ManifestRollback, "%s followed version %d and no longer does", gateway, version)
			}
		}
		sleep(ctx, watchInterval)
	}
}

// checkManifests checks that every gateway follows the newest version.
func (s *soak) checkManifests(ctx context.Context) {
	for _, g := range s.settings.Size.gateways() {
		if follows, _ := s.follows(ctx, g, s.newestVersion()); !follows && ctx.Err() == nil {
			s.addViolation(StaleManifest, "%s does not follow version %d %s after the last fault", g, s.newestVersion(), recoveryLimit)
		}
	}
}
