package soaker

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults. The first group strikes processes, the second connections, the
// third the store, the fourth workers.
const (
	Kill      FaultKind = "kill"
	Terminate FaultKind = "terminate"
	Pause     FaultKind = "pause"
	Reload    FaultKind = "reload"

	Delay     FaultKind = "delay"
	Reset     FaultKind = "reset"
	Silence   FaultKind = "silence"
	CutOneWay FaultKind = "cut_one_way"

	StoreBusy       FaultKind = "store_busy"
	StoreDown       FaultKind = "store_down"
	StoreCompaction FaultKind = "store_forgets"
	NewManifest     FaultKind = "new_manifest"

	WorkerCrash FaultKind = "worker_crash"
	WorkerHang  FaultKind = "worker_hang"
	FenceAhead  FaultKind = "fence_ahead"
)

// Fault is one fault of a plan.
type Fault struct {
	// At counts from the start of the soak.
	At, Duration time.Duration
	Kind         FaultKind
	// Target names a process, a path of connections or a worker, as the kind needs it.
	Target string
	// EveryNth is the distance between the connections of a path that are struck; all are at
	// zero.
	EveryNth int
	// ToTarget tells which way a path is cut.
	ToTarget bool
}

// String returns the fault as one line of a plan.
func (f Fault) String() string {
	text := fmt.Sprintf("%7.3fs for %5.3fs %s %s", f.At.Seconds(), f.Duration.Seconds(), f.Kind, f.Target)
	if f.EveryNth > 0 {
		text += fmt.Sprintf(" every=%d", f.EveryNth)
	}
	if f.Kind == CutOneWay {
		text += fmt.Sprintf(" forth=%t", f.ToTarget)
	}
	return text
}

// Size is how many processes a soak runs.
type Size struct {
	Gateways, Workers int
}

const (
	// warmUp is the time before the first fault, in which everything starts.
	warmUp = 2 * time.Second
	// faultFreeDuration is the time without faults at the end of a soak: the time in which service must
	// be back, and as much again in which every job must be served.
	faultFreeDuration = 2 * recoveryLimit
	// shortestFault and longestFault bound how long a fault lasts: from a fraction of a
	// permit to several times the time after which runs count as over.
	shortestFault = 50 * time.Millisecond
	longestFault  = 3 * time.Second
	// meanFaultGap is the mean time between two faults; with it, two or three overlap.
	meanFaultGap = 600 * time.Millisecond
	// seriesShare is the share of faults that come as a series on the same target.
	seriesShare  = 0.25
	seriesLength = 3
)

// GeneratePlan returns the plan of a seed, for a soak of some length.
func GeneratePlan(seed uint64, length time.Duration, size Size) []Fault {
	random := rand.New(rand.NewPCG(seed, seed))
	end := length - faultFreeDuration
	var plan []Fault
	for at := warmUp; at < end; at += time.Duration(random.Int64N(int64(2 * meanFaultGap))) {
		f := size.drawFault(random)
		f.At, f.Duration = at, drawDuration(random)
		times := 1
		if random.Float64() < seriesShare {
			times = seriesLength
			f.Duration /= seriesLength
		}
		for range times {
			if f.At+f.Duration > end {
				break
			}
			plan = append(plan, f)
			f.At += f.Duration + drawDuration(random)/seriesLength
		}
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// drawDuration draws how long a fault lasts, evenly by its logarithm: the time limits that it
// has to hit lie between a tenth of a second and a second.
func drawDuration(random *rand.Rand) time.Duration {
	ratio := float64(longestFault) / float64(shortestFault)
	return time.Duration(float64(shortestFault) * math.Pow(ratio, random.Float64()))
}

// drawFault chooses a kind and a target.
func (s Size) drawFault(random *rand.Rand) Fault {
	pick := func(names []string) string { return names[random.IntN(len(names))] }
	kinds := []FaultKind{
		Kill, Terminate, Pause, Pause, Reload, Delay, Reset, Reset, Silence, Silence, CutOneWay, CutOneWay,
		StoreBusy, StoreDown, StoreCompaction, NewManifest, WorkerCrash, WorkerHang, FenceAhead,
	}
	f := Fault{Kind: kinds[random.IntN(len(kinds))]}
	switch f.Kind {
	case Kill, Terminate, Pause, Reload:
		f.Target = pick(append(s.gateways(), s.sidecars()...))
	case Delay, Reset, Silence, CutOneWay:
		f.Target = pick(s.paths())
		f.ToTarget = random.IntN(2) == 0
		// A gateway that loses some of its agents tries elsewhere; one that loses all waits.
		if strings.HasPrefix(f.Target, "link") && random.IntN(3) > 0 {
			f.EveryNth = 2 + random.IntN(2)
		}
	case WorkerCrash, WorkerHang, FenceAhead:
		f.Target = pick(s.workers())
	}
	return f
}

func numberedNames(prefix string, n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("%s-%d", prefix, i+1)
	}
	return all
}

func (s Size) gateways() []string { return numberedNames("gateway", s.Gateways) }
func (s Size) sidecars() []string { return numberedNames("sidecar", s.Workers) }
func (s Size) workers() []string  { return numberedNames("worker", s.Workers) }

// paths returns the names of the forwarders.
func (s Size) paths() []string {
	var all []string
	for _, g := range s.gateways() {
		all = append(all, "callers_of_"+g, "link_of_"+g, "store_of_"+g)
	}
	for _, a := range s.sidecars() {
		all = append(all, "control_of_"+a, "orders_of_"+a, "store_of_"+a)
	}
	return all
}
