package home

import (
	"sort"
	"time"

	"lavenderpond/core"
)

// Load is a team's unfinished work at this home.
type Load struct {
	Team    core.TeamID `json:"team"`
	Running core.Slots  `json:"running"`
	Queued  int         `json:"queued"`
}

// Loads returns the teams with unfinished work, sorted by name.
func (h *Home) Loads() []Load {
	byTeam := make(map[core.TeamID]*Load)
	for key, r := range h.unfinished {
		l := byTeam[key.Team]
		if l == nil {
			l = &Load{Team: key.Team}
			byTeam[key.Team] = l
		}
		if r.phase == queued {
			l.Queued++
		} else {
			l.Running++
		}
	}
	loads := make([]Load, 0, len(byTeam))
	for _, l := range byTeam {
		loads = append(loads, *l)
	}
	sort.Slice(loads, func(i, j int) bool { return loads[i].Team < loads[j].Team })
	return loads
}

// maxDumpedRecords limits how many unfinished requests a dump lists.
const maxDumpedRecords = 200

// Dump is a Home's state for operators. It contains no request bodies.
type Dump struct {
	Counts     Counts       `json:"counts"`
	Records    int          `json:"records"`
	Loads      []Load       `json:"loads"`
	Unfinished []RecordDump `json:"unfinished"`
}

// RecordDump is the state of an unfinished request in a Dump.
type RecordDump struct {
	Key        string       `json:"key"`
	Phase      string       `json:"phase"`
	VM         core.VMID    `json:"vm,omitempty"`
	Dispatches core.Attempt `json:"dispatches"`
	Deadline   time.Time    `json:"deadline"`
	Waiters    int          `json:"waiters"`
}

// Dump returns the state, with at most maxDumpedRecords of the unfinished requests.
func (h *Home) Dump() Dump {
	d := Dump{Counts: h.counts, Records: len(h.records), Loads: h.Loads()}
	d.Counts.Answers = make(map[core.Code]int64, len(h.counts.Answers))
	for code, n := range h.counts.Answers {
		d.Counts.Answers[code] = n
	}
	for key, r := range h.unfinished {
		if len(d.Unfinished) == maxDumpedRecords {
			break
		}
		d.Unfinished = append(d.Unfinished, RecordDump{
			Key: key.String(), Phase: r.phase.String(), VM: r.vm, Dispatches: r.dispatchNumber,
			Deadline: r.request.Deadline, Waiters: len(r.waiters),
		})
	}
	sort.Slice(d.Unfinished, func(i, j int) bool { return d.Unfinished[i].Key < d.Unfinished[j].Key })
	return d
}
