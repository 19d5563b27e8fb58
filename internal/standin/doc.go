// Package standin has small stand-ins for what surrounds foxtailspoke: the
// platform, backend servers, and network links that can be cut. They run in a
// test's own process or, by the program foxtailspoke-standin, on their own.
//
// Each has a set of faults, a plain struct that is switched as a whole or in
// part: from Go by SetFaults, or over HTTP on the control address by
//
//	GET    /control/faults   shows the faults
//	POST   /control/faults   sets the fields given, and leaves the others
//	DELETE /control/faults   ends all faults
//
// The JSON field names are those of the struct tags of PlatformFaults and
// BackendFaults.
package standin
