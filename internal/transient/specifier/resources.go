package specifier

// Resources is what a task needs of a worker, or what a worker has.
type Resources struct {
	_msgpack struct{} `msgpack:",as_array"`

	// CPU is in thousandths of a core.
	CPU int
	// Memory is in megabytes.
	Memory int
	// Accelerators is a number of devices.
	Accelerators int
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators}
}

// Sub returns r less o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}

// ClampToZero returns r with zero in place of each negative figure.
func (r Resources) ClampToZero() Resources {
	return Resources{CPU: max(r.CPU, 0), Memory: max(r.Memory, 0), Accelerators: max(r.Accelerators, 0)}
}

// FitsIn reports whether o has room for r.
func (r Resources) FitsIn(o Resources) bool {
	return r.CPU <= o.CPU && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators
}
