package spread

import "time"

// WithoutRule returns a planner for tests with the named rule disabled. An empty name
// disables none.
func WithoutRule(rule string) Planner {
	p := Planner{RepairAfter: 5 * time.Minute, StopTime: 5 * time.Minute}
	switch rule {
	case "halt":
		p.noHalt = true
	case "ramp":
		p.noRamp = true
	case "reserve":
		p.noReserve = true
	case "racks":
		p.noRackLimit = true
	case "repair":
		p.noRepair = true
	}
	return p
}
