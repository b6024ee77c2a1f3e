package core

import (
	"bytes"
	_ "embed" // for codesCSV
	"encoding/csv"
	"fmt"
	"strconv"
)

// Code is a numbered result code. The numbers are stable; docs/RESULT-CODES.md
// describes each code.
type Code uint16

// The result codes. Their descriptions and outcomes are listed in codes.csv.
const (
	CodeDone              Code = 0
	CodePending           Code = 1
	CodeMalformed         Code = 100
	CodeTooLarge          Code = 101
	CodeUnknownTeam       Code = 102
	CodeBadKey            Code = 103
	CodeKeyWithdrawn      Code = 104
	CodeDeadlinePassed    Code = 105
	CodeClockAhead        Code = 106
	CodeUnknownQueue      Code = 107
	CodeIDReused          Code = 108
	CodeTruncated         Code = 109
	CodeDeadlineTooFar    Code = 110
	CodeNotFound          Code = 111
	CodeKeysStale         Code = 112
	CodeQueueFull         Code = 200
	CodeWouldBeLate       Code = 201
	CodeTeamLimit         Code = 202
	CodeNoTarget          Code = 203
	CodeCancelled         Code = 204
	CodeEntryStopping     Code = 205
	CodeCannotRun         Code = 206
	CodeRetryBudget       Code = 207
	CodeNoHolder          Code = 208
	CodeZoneUnreachable   Code = 209
	CodeOverloaded        Code = 210
	CodeAnswerLost        Code = 300
	CodeHomeReplaced      Code = 301
	CodeHomeUnreachable   Code = 302
	CodeTargetFailed      Code = 303
	CodeAnswerDamaged     Code = 304
	CodeCancelledRunning  Code = 305
	CodeStoppedAtDeadline Code = 306
	CodeConflict          Code = 400
	CodeReasonMissing     Code = 401
	CodeBudgetSpent       Code = 402
	CodeInvalidSetting    Code = 403
	CodePlatformDown      Code = 404
	CodeChangeUnknown     Code = 405
	CodeNotAuthorized     Code = 406
	CodeInternal          Code = 500
)

//go:embed codes.csv
var codesCSV []byte

// CodeInfo is one row of the result code table.
type CodeInfo struct {
	Code        Code
	Name        string
	Outcome     string
	Description string
}

var codeTable = mustParseCodes(codesCSV)

// Codes returns the result code table in ascending order of the codes.
func Codes() []CodeInfo {
	return append([]CodeInfo(nil), codeTable...)
}

// Info returns the table row of c. A code that isn't listed gets the name "code_N".
func (c Code) Info() CodeInfo {
	for _, info := range codeTable {
		if info.Code == c {
			return info
		}
	}
	return CodeInfo{Code: c, Name: fmt.Sprintf("code_%d", uint16(c))}
}

// String returns the name of c that is shown in logs and to callers.
func (c Code) String() string { return c.Info().Name }

func mustParseCodes(data []byte) []CodeInfo {
	records, err := csv.NewReader(bytes.NewReader(data)).ReadAll()
	if err != nil {
		panic(err)
	}
	var table []CodeInfo
	for _, record := range records[1:] {
		n, err := strconv.ParseUint(record[0], 10, 16)
		if err != nil {
			panic(err)
		}
		table = append(table, CodeInfo{Code: Code(n), Name: record[1], Outcome: record[2], Description: record[3]})
	}
	return table
}
