// Package core defines the types shared by lavenderpond's decision logic: ids,
// units, requests, answers and numbered result codes.
//
// The sub-packages implement the decisions as pure logic. They use no clock, no
// network and no goroutines: time and events are passed in as arguments, and typed
// commands are returned.
package core
