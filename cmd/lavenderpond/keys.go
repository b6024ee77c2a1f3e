package main

import (
	"encoding/json"

	"github.com/pkg/errors"

	"lavenderpond/core"
	pb "lavenderpond/io/gen/lavenderpond/v1"
)

type keysCmd struct {
	List     keysListCmd     `cmd:"" help:"List the keys by their digests."`
	Grant    keysGrantCmd    `cmd:"" help:"Make a new key for a team and print it, once."`
	Withdraw keysWithdrawCmd `cmd:"" help:"Withdraw a key for good, at every entry that can be reached and in the table."`
}

type keysListCmd struct {
	Team string `help:"Only this team's keys."`
}

// Run lists keys.
func (c keysListCmd) Run(a *app) error {
	reply, err := askAny(a, operatorClient.ListKeys, &pb.ListKeysRequest{Team: c.Team})
	if err != nil {
		return err
	}
	a.warnView(reply.View)
	var g grid
	g.add("TEAM", "STATE", "DIGEST")
	for _, k := range reply.Keys {
		state := "granted"
		if k.Withdrawn {
			state = "withdrawn"
		}
		g.add(k.Team, state, k.Digest)
	}
	return a.show(reply, g)
}

type keysGrantCmd struct {
	Team string `arg:"" help:"Team that the key speaks for."`
}

// grantOutput is the JSON output of a grant.
type grantOutput struct {
	Team    string `json:"team"`
	Key     string `json:"key"`
	Digest  string `json:"digest"`
	Version uint64 `json:"version"`
	Note    string `json:"note,omitempty"`
}

// Run generates a key and grants it. Only the digest is sent. The key is printed after
// the grant is confirmed, so a grant whose outcome is unknown discards the key.
func (c keysGrantCmd) Run(a *app) error {
	key := "lp_" + a.token()
	digest := string(core.Digest(key))
	reply, err := a.apply(&pb.ApplyChangeRequest{Change: &pb.ApplyChangeRequest_GrantKey{
		GrantKey: &pb.GrantKey{Digest: digest, Team: c.Team},
	}})
	if core.ErrorCode(err) == core.CodeChangeUnknown {
		return core.Errorf(core.CodeChangeUnknown,
			"the key may have been granted and was thrown away; grant another, and withdraw digest %s if the list has it", digest)
	}
	if err != nil {
		return err
	}
	if a.Output == "json" {
		data, err := json.Marshal(grantOutput{c.Team, key, digest, reply.Version, reply.Note})
		if err != nil {
			return errors.Wrap(err, "encode key")
		}
		a.printf("%s\n", data)
		return nil
	}
	a.printf("key      %s\ndigest   %s\nversion  %d\n", key, digest, reply.Version)
	if reply.Note != "" {
		a.warnf("note: %s\n", reply.Note)
	}
	a.warnf("the key is not stored and won't be shown again\n")
	return nil
}

type keysWithdrawCmd struct {
	Digest string `arg:"" help:"Digest of the key, from 'keys list'."`
	Team   string `help:"Team of the key; needed only if no entry knows it."`
	Reason string `help:"Why, for the record."`
}

// Run withdraws a key. It sends the withdrawal to every entry given, and each of them
// forwards it to the others and tries to record it in the table.
func (c keysWithdrawCmd) Run(a *app) error {
	author, err := a.author()
	if err != nil {
		return err
	}
	changeID := a.ChangeID
	if changeID == "" {
		changeID = "change-" + a.token()
	}
	replies, err := askAll(a, operatorClient.Withdraw, &pb.WithdrawRequest{
		ChangeId: changeID, Author: author, Digest: c.Digest, Team: c.Team, Reason: c.Reason,
	})
	if err != nil {
		return err
	}
	merged := &pb.WithdrawReply{TableCode: uint32(core.CodePlatformDown), TableDetail: "no entry could record it"}
	var confirmations confirmationSet
	for _, reply := range replies {
		if reply.err != nil {
			confirmations.addUnreached(reply.address, reply.err)
			continue
		}
		confirmations.add(reply.value.Confirmations)
		if v := reply.value; merged.TableCode != 0 {
			merged.TableCode, merged.TableDetail, merged.Version = v.TableCode, v.TableDetail, v.Version
		}
	}
	merged.Confirmations = confirmations.list()
	if err := a.show(merged, confirmations.grid()); err != nil {
		return err
	}
	if merged.TableCode == 0 {
		return confirmations.unconfirmedError("the withdrawal")
	}
	return unrecordedError(merged, &confirmations, changeID)
}

// unrecordedError explains how far a withdrawal holds that isn't recorded in the table.
// Without the table, an entry considers its key list current if a majority of zones
// vouches for it. A withdrawal that only a minority of zones holds may therefore be
// unknown to an entry that is cut off or restarts.
func unrecordedError(m *pb.WithdrawReply, confirmations *confirmationSet, changeID string) error {
	cause := m.TableDetail
	if code := core.Code(m.TableCode); code == core.CodePlatformDown || code == core.CodeChangeUnknown {
		cause = code.String()
	}
	confirming, all := confirmations.countZones()
	if 2*confirming > all {
		return failf(exitPartlyConfirmed, "in force in %d of %d zones, not yet recorded in the table: %s; repeat with --change-id %s once it can be",
			confirming, all, cause, changeID)
	}
	return failf(exitPartlyConfirmed, "NOT SAFE: only %d of %d zones have it, the table doesn't: %s; repeat with --change-id %s until a majority of zones or the table has it",
		confirming, all, cause, changeID)
}
