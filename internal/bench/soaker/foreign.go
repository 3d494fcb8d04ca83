package soaker

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/dandeliongrade/dandeliongrade/platform/standin"
)

const (
	// maxForeignPause bounds the pause between two messages of another writer.
	maxForeignPause = 500 * time.Millisecond
	// foreignTimeout bounds the wait for an answer.
	foreignTimeout = 300 * time.Millisecond
	// deregistrationShare of the messages are deregistrations that name the present worker, as
	// late ones of an earlier incarnation do.
	deregistrationShare = 0.2
	// foreignWriterStream is the stream of random numbers of the other writer.
	foreignWriterStream = 1 << 32
)

// runForeignWriter sends sidecars messages that do not come from their workers, until ctx ends. It
// is not part of the plan, so that the plans of seeds stay as they are. A late deregistration
// keeps a worker idle until its next report, so there are none in the fault-free period.
func (s *soak) runForeignWriter(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.settings.Seed, foreignWriterStream))
	client := standin.CallerClient{Timeout: foreignTimeout}
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.Int64N(int64(maxForeignPause))))
		n := random.IntN(s.settings.Size.Workers)
		w := s.workers[s.settings.Size.workers()[n]]
		name := w.incarnation().ID
		method, body := http.MethodPut, []byte(nil)
		if random.Float64() < deregistrationShare && !s.mustServe.Load() {
			method = http.MethodDelete
		} else {
			var err error
			if name, body, err = foreignReport(time.Now(), random, w, name); err != nil {
				s.addViolation(SoakFailure, "encode a report: %s", err)
				return
			}
		}
		// A sidecar that is down gets nothing.
		_, _, _ = client.Call(ctx, method, s.addr(controlPort+1+uint16(n)), "/instances/"+name, body)
	}
}

// foreignReport returns the name and the body of a report that does not describe the present
// incarnation of a worker.
func foreignReport(now time.Time, random *rand.Rand, w *worker, name string) (string, []byte, error) {
	service, addr := standin.Service, w.advertised.String()
	if random.IntN(2) == 0 {
		name, service = "foreign", "unknown"
	}
	if random.IntN(2) == 0 {
		addr = "127.0.0.1:9"
	}
	age := time.Duration(random.Int64N(int64(20*time.Second))) - 10*time.Second
	body, err := json.Marshal(map[string]any{
		"service": service, "addr": addr, "zone": standin.Zone, "state": "ready",
		"capacity": map[string]int{"cpu": random.IntN(2 * workerCPU)},
		"clock_ms": random.IntN(1 << 20), "born": now.Add(-age).UnixMilli(), "seq": random.IntN(1 << 20),
	})
	return name, body, err
}
