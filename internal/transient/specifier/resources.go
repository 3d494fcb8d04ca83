package specifier

// Resources is the demand of a task, or the capacity or use of a worker.
type Resources struct {
	_msgpack struct{} `msgpack:",as_array"`

	// CPU is in millicores.
	CPU int
	// Memory is in megabytes.
	Memory int
	// Accelerators is the number of accelerator devices.
	Accelerators int
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators}
}

// Sub returns r minus o. The result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}

// ClampToZero returns r with each negative component replaced by zero.
func (r Resources) ClampToZero() Resources {
	return Resources{CPU: max(r.CPU, 0), Memory: max(r.Memory, 0), Accelerators: max(r.Accelerators, 0)}
}

// FitsIn reports whether no component of r exceeds that of o.
func (r Resources) FitsIn(o Resources) bool {
	return r.CPU <= o.CPU && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators
}
