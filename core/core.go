// Package core holds the types that every decision of lavenderpond is made of:
// ids, units, requests, answers and numbered result codes.
//
// Its sub-packages make the decisions. They are pure: no clock, no network, no
// goroutine. Time and events come in as arguments, typed commands come out.
package core
