// Package standin provides stand-ins (test doubles) for the systems around
// foxtailspoke: the platform, backend servers, and network links whose
// directions can be cut. They run inside a test process or, through the
// program foxtailspoke-standin, as separate processes.
//
// The platform and the backend servers each inject a set of faults, a plain
// struct that can be replaced or updated at run time: from Go by SetFaults and
// UpdateFaults, or over HTTP by the control API, which has an address of its own:
//
//	GET    /control/faults   returns the current faults
//	POST   /control/faults   sets the fields in the body and keeps the others
//	DELETE /control/faults   clears all faults
//
// The JSON field names are those of the struct tags of PlatformFaults and
// BackendFaults. Links have a control API of their own; see Links.
package standin
