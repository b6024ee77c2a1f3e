package policy

import (
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a switch without a setting: each bool of Policy belongs to one switch.
func TestEachSwitchSetsItsOwnField(t *testing.T) {
	var all Policy
	for _, s := range Switches() {
		var p Policy
		s.Set(&p, true)
		assert.DeepEqual(t, p.EnabledNames(), []string{s.Name})
		s.Set(&all, true)
	}
	v := reflect.ValueOf(all)
	for i := range v.NumField() {
		if v.Field(i).Kind() == reflect.Bool {
			assert.Assert(t, v.Field(i).Bool(), v.Type().Field(i).Name)
		}
	}
}

// Guards against an exception that outlasts its end, or applies to other accounts and queues.
func TestExemptUntilEndForNamedAccountAndQueue(t *testing.T) {
	end := time.Unix(1000, 0)
	p := Policy{Exceptions: []Exception{
		{Name: "a", Decision: Admission, Account: "north", Queue: "q", End: end},
		{Name: "b", Decision: FairShares, Account: "south"},
	}}
	before := end.Add(-time.Second)
	assert.Assert(t, p.Exempt(before, Admission, "north", "q"))
	assert.Assert(t, !p.Exempt(end, Admission, "north", "q"))
	assert.Assert(t, !p.Exempt(before, Admission, "north", "r"))
	assert.Assert(t, !p.Exempt(before, Admission, "south", "q"))
	assert.Assert(t, !p.Exempt(before, SecondRuns, "north", "q"))
	assert.Assert(t, p.Exempt(end.Add(time.Hour), FairShares, "south", "any"))
}

// Guards against a change of the policy that operators don't see in the log.
func TestChangesFromNamesEachDifference(t *testing.T) {
	at := time.Unix(1000, 0)
	before := Policy{Admission: true, Exceptions: []Exception{
		{Name: "gone"}, {Name: "same", End: at.UTC()}, {Name: "other", Reason: "x"},
	}}
	after := Policy{FairShares: true, Exceptions: []Exception{
		{Name: "same", End: at.In(time.FixedZone("", 3600))}, {Name: "other", Reason: "y"}, {Name: "new"},
	}}
	assert.DeepEqual(t, after.ChangesFrom(&before), []Change{
		{"admission", Disabled}, {"fair_shares", Enabled},
		{"exception other", Altered}, {"exception new", Added}, {"exception gone", Removed},
	})
	assert.Equal(t, len(after.ChangesFrom(&after)), 0)
}
