// Package proofs contains end-to-end tests of the safety guarantees. Real entry
// processes are killed, paused, partitioned and replaced under load on a fixed
// schedule, and the recorded history is checked afterwards. It is test code
// only.
package proofs
