package main

import (
	"fmt"
	"strings"

	pb "lavenderpond/io/gen/lavenderpond/v1"
	"lavenderpond/io/operator"
)

type auditCmd struct {
	Last uint32 `default:"20" help:"How many of the last changes, at most 1000."`
}

// Run lists the accepted changes. It fails if the record of one of them can't be read.
func (c auditCmd) Run(a *app) error {
	reply, err := askAny(a, operatorClient.ListAudit, &pb.ListAuditRequest{Last: c.Last})
	if err != nil {
		return err
	}
	var g grid
	var missing []string
	g.add("VERSION", "AT", "AUTHOR", "KIND", "ROW", "BEFORE", "AFTER", "REASON", "CHANGE")
	for _, r := range reply.Records {
		g.add(r.Version, formatTime(r.At), r.Author, r.Kind, r.Row, r.Before, r.After, r.Reason, r.ChangeId)
		if r.Kind == operator.KindRecordMissing {
			missing = append(missing, fmt.Sprint(r.Version))
		}
	}
	if err := a.show(reply, g); err != nil {
		return err
	}
	if len(missing) > 0 {
		return failf(exitPartlyConfirmed, "neither the table nor the object store has the record of version %s", strings.Join(missing, ", "))
	}
	return nil
}
