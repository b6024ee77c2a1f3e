package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	pb "lavenderpond/io/gen/lavenderpond/v1"
)

// timeLayout is the format of printed times, which are in UTC.
const timeLayout = time.RFC3339

// grid is a text table. Its first row is the header.
type grid [][]string

func (g *grid) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
		if row[i] == "" {
			row[i] = "-"
		}
	}
	*g = append(*g, row)
}

// show prints m as JSON, or g as a table.
func (a *app) show(m proto.Message, g grid) error {
	if a.Output == "json" {
		data, err := encodeJSON(m)
		a.printf("%s", data)
		return err
	}
	w := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	for _, row := range g {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// warnView warns on standard error that a list comes from the configuration that an entry
// holds, which may be outdated, and not from the table. It prints nothing if v is nil.
func (a *app) warnView(v *pb.View) {
	if v != nil {
		a.warnf("the table is down: this is the view of entry %s at version %d\n", v.Entry, v.Version)
	}
}

// encodeJSON returns m as indented JSON with field names in snake case.
func encodeJSON(m proto.Message) ([]byte, error) {
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return nil, err
	}
	return normalizeJSON(data)
}

// normalizeJSON indents JSON in a fixed way, because protojson varies its whitespace from
// run to run.
func normalizeJSON(data []byte) ([]byte, error) {
	var compact, out bytes.Buffer
	if err := json.Compact(&compact, data); err != nil {
		return nil, err
	}
	if err := json.Indent(&out, compact.Bytes(), "", "  "); err != nil {
		return nil, err
	}
	out.WriteByte('\n')
	return out.Bytes(), nil
}

func formatTime(t *timestamppb.Timestamp) string {
	if t == nil {
		return ""
	}
	return t.AsTime().UTC().Format(timeLayout)
}

// orDefault formats a setting for which zero means that the default applies.
func orDefault(n int32) string {
	if n == 0 {
		return "default"
	}
	return fmt.Sprint(n)
}
