package fleet

import (
	"encoding/json"
	"testing"

	"lavenderpond/core/table"
)

// FuzzDecode feeds the decoders rows that another version of the program, or a faulty
// writer, may have left in the table. The decoders must reject what they can't read. What
// they accept must be encodable again and must not make the functions that use it panic.
func FuzzDecode(f *testing.F) {
	f.Add("vm/zone_a/vm-1", `{"pool":"frames","state":"serving","rack":"r1","slots":8}`)
	f.Add("vm/zone_a", `{"state":"asleep"}`)
	f.Add("pool/frames", `{"max_unavailable":2,"size":10,"out":[{"zone":"a","vm":"b","planned":true}]}`)
	f.Add("pool/", `[]`)
	f.Add("vm//", `null`)
	f.Fuzz(func(t *testing.T, key, value string) {
		row := table.Row{Key: table.Key(key), Version: 1, Value: json.RawMessage(value)}
		if vm, err := DecodeVM(row); err == nil {
			var m Membership
			m.Handle(vm.VM.Since, RowsChanged{Rows: []*VMRow{&vm}})
			m.Targets()
			if _, err := json.Marshal(vm.VM); err != nil {
				t.Fatalf("decoded VM row can't be encoded: %v", err)
			}
		}
		if pool, err := DecodePool(row); err == nil {
			_ = pool.Pool.Headroom() + pool.Pool.Failed()
			if _, err := json.Marshal(pool.Pool); err != nil {
				t.Fatalf("decoded pool row can't be encoded: %v", err)
			}
		}
	})
}
