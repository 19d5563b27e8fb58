// Package clientlimits tests what clients and backend servers that misbehave can do to the
// processes of the system: their memory, their descriptors and whether they still answer.
//
// The tests check nothing that depends on the speed of the machine. Each starts processes of its
// own; run one at a time.
package clientlimits
