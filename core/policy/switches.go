package policy

// Switch turns one of the policy's decisions on or off. Switches lists all of them.
type Switch struct {
	// Name is the switch in snake case, as in files, logs and metrics.
	Name string
	// Help says what the decision does.
	Help  string
	field func(p *Policy) *bool
}

// Enabled reports whether the switch is on in p.
func (s Switch) Enabled(p *Policy) bool { return *s.field(p) }

// Set turns the switch on or off in p.
func (s Switch) Set(p *Policy, enabled bool) { *s.field(p) = enabled }

// Switches returns all switches in the order in which they are documented and logged.
func Switches() []Switch {
	return []Switch{
		{"admission", "Refuses jobs that can't complete while they are of use, and says when to try again.",
			func(p *Policy) *bool { return &p.Admission }},
		{"fair_shares", "Orders the jobs of a full pool by what their accounts already use.",
			func(p *Policy) *bool { return &p.FairShares }},
		{"run_time_forecast", "Predicts run times from their distribution, and tells slow VMs from long tasks.",
			func(p *Policy) *bool { return &p.RunTimeForecast }},
		{"second_runs", "Permits a second run of a task whose step allows it.",
			func(p *Policy) *bool { return &p.SecondRuns }},
		{"ranked_room", "Gives machines to pools by the rank of the work that waits there.",
			func(p *Policy) *bool { return &p.RankedRoom }},
		{"entry_limits", "Bounds the calls that an entry VM serves concurrently by what the VM has.",
			func(p *Policy) *bool { return &p.EntryLimits }},
	}
}

// EnabledNames returns the names of the switches that are on in p.
func (p *Policy) EnabledNames() []string {
	names := []string{}
	for _, s := range Switches() {
		if s.Enabled(p) {
			names = append(names, s.Name)
		}
	}
	return names
}
