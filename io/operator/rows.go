package operator

import (
	"context"
	"net/netip"
	"strings"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
	"lavenderpond/core/table"
	pb "lavenderpond/io/gen/lavenderpond/v1"
)

func tableKey(key string) table.Key { return table.Key(key) }

func isAddrPort(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

// poolOfConfigKey returns the pool whose settings the row of key holds. It returns false
// if key isn't the key of a pool's settings.
func poolOfConfigKey(key table.Key) (core.PoolID, bool) {
	id, ok := strings.CutPrefix(string(key), string(table.PoolConfigKey("")))
	return core.PoolID(id), ok
}

func (s *Server) readPool(ctx context.Context, id core.PoolID) (fleet.PoolRow, error) {
	row, err := s.Table.Read(ctx, table.PoolStateKey(id))
	if err != nil {
		return fleet.PoolRow{}, err
	}
	return fleet.DecodePool(row)
}

func (s *Server) readVM(ctx context.Context, key table.Key) (fleet.VMRow, error) {
	row, err := s.Table.Read(ctx, key)
	if err != nil {
		return fleet.VMRow{}, err
	}
	return fleet.DecodeVM(row)
}

// readVMAndPool reads a VM and its pool.
func (s *Server) readVMAndPool(ctx context.Context, key table.Key) (fleet.VMRow, fleet.PoolRow, error) {
	vm, err := s.readVM(ctx, key)
	if err != nil {
		return vm, fleet.PoolRow{}, err
	}
	if !vm.Exists() {
		return vm, fleet.PoolRow{}, core.Errorf(core.CodeNotFound, "no VM %s", vm.Ref)
	}
	pool, err := s.readPool(ctx, vm.VM.Pool)
	return vm, pool, err
}

// scanConfig returns the configuration rows under prefix. While the table is down, it
// returns the rows of this entry's view instead, and a pb.View that names the entry and
// its version.
func (s *Server) scanConfig(ctx context.Context, prefix string) ([]table.Row, *pb.View, error) {
	rows, _, err := s.Table.Scan(ctx, prefix)
	if err == nil || !errors.Is(err, table.ErrUnreachable) {
		return rows, nil, err
	}
	d := s.Backend.View()
	rows = nil
	for _, r := range d.Rows {
		if strings.HasPrefix(string(r.Key), prefix) && r.Version > 0 {
			rows = append(rows, r)
		}
	}
	return rows, &pb.View{Entry: string(s.Entry), Version: uint64(d.Version)}, nil
}

// rowName returns the part of r's key after prefix, which is the name of what r describes.
func rowName(r table.Row, prefix string) string { return strings.TrimPrefix(string(r.Key), prefix) }
